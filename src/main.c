/* Entry point: parses the command line, loads the settings and runs the controller. */
#include <ev.h>
#include <popt.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "admission/admission_policy.h"
#include "base/log.h"
#include "config/settings.h"
#include "controller/controller.h"

/* Exit code for an invalid command line, an invalid setting or a failed startup. */
#define EXIT_STARTUP_FAILED 2
#define ERROR_BYTES 1024 /* size of a buffer for an error message */

static void on_sigusr1(struct ev_loop *loop, ev_signal *watcher, int events) {
  (void)loop;
  (void)events;
  const struct tmx_controller *controller = watcher->data;
  tmx_controller_log_accounts(controller);
}

/* Logs the accounts of admission control whenever the process receives SIGUSR1. */
static void log_accounts_on_signal(struct ev_loop *loop, struct tmx_controller *controller) {
  static ev_signal watcher;
  ev_signal_init(&watcher, on_sigusr1, SIGUSR1);
  watcher.data = controller;
  ev_signal_start(loop, &watcher);
}

/* Options of the command line. The flags are of type int because popt stores them as int. */
struct command_line {
  char *settings_path;
  char *operator_settings_path;
  int check_only;
  int print_version;
};

/* Parses the command line. On an error, writes one line to standard error and returns false. */
static bool parse_command_line(int argc, const char **argv, struct command_line *line) {
  struct poptOption options[] = {
      {"config", 'c', POPT_ARG_STRING, &line->settings_path, 0,
       "settings handed over by the platform (JSON)", "FILE"},
      {"operator-config", 'o', POPT_ARG_STRING, &line->operator_settings_path, 0,
       "the operators' own settings (TOML)", "FILE"},
      {"check", 0, POPT_ARG_NONE, &line->check_only, 0, "check the settings and exit", NULL},
      {"version", 'V', POPT_ARG_NONE, &line->print_version, 0, "print the version and exit", NULL},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("tallymux", argc, argv, options, 0);
  poptSetOtherOptionHelp(context, "--config FILE [--operator-config FILE] [--check]");
  int result = poptGetNextOpt(context);
  bool valid = false;
  if (result < -1)
    fprintf(stderr, "tallymux: %s: %s\n", poptBadOption(context, 0), poptStrerror(result));
  else if (poptPeekArg(context))
    fprintf(stderr, "tallymux: %s: unexpected argument\n", poptPeekArg(context));
  else if (!line->print_version && !line->settings_path)
    fprintf(stderr, "tallymux: --config: missing (see --help)\n");
  else
    valid = true;
  poptFreeContext(context);
  return valid;
}

/* Loads and checks all settings. On failure, returns false and sets `error` to one line that names
 * the invalid setting. */
static bool load_settings(const struct command_line *line, struct tmx_settings *settings,
                          char *error, size_t error_size) {
  if (!tmx_settings_load(settings, line->settings_path, error, error_size)) return false;
  if (line->operator_settings_path &&
      !tmx_operator_settings_load(&settings->operators, line->operator_settings_path, error,
                                  error_size))
    return false;
  return tmx_admission_settings_resolve(settings, error, error_size);
}

/* Runs the controller and returns the exit code of the process. */
static int run_controller(const struct tmx_settings *settings) {
  char error[ERROR_BYTES];
  signal(SIGPIPE, SIG_IGN);
  tmx_log_init(settings->node_name);
  struct ev_loop *loop = ev_default_loop(EVFLAG_NOSIGMASK);
  if (!loop) {
    fprintf(stderr, "tallymux: no event loop\n");
    return EXIT_STARTUP_FAILED;
  }
  struct tmx_controller *controller = tmx_controller_new(loop, settings, error, sizeof error);
  if (!controller) {
    fprintf(stderr, "tallymux: %s\n", error);
    return EXIT_STARTUP_FAILED;
  }
  if (settings->operators.admission.enabled) log_accounts_on_signal(loop, controller);
  tmx_log(TMX_LOG_INFO, "tallymux %s listens on %s", TMX_VERSION, settings->listen);
  ev_run(loop, 0);
  return EXIT_SUCCESS;
}

int main(int argc, const char **argv) {
  struct command_line line = {0};
  if (!parse_command_line(argc, argv, &line)) return EXIT_STARTUP_FAILED;
  if (line.print_version) {
    printf("tallymux %s\n", TMX_VERSION);
    return EXIT_SUCCESS;
  }
  static struct tmx_settings settings;
  char error[ERROR_BYTES];
  if (!load_settings(&line, &settings, error, sizeof error)) {
    fprintf(stderr, "tallymux: %s\n", error);
    return EXIT_STARTUP_FAILED;
  }
  if (line.check_only) {
    printf("settings of %s are valid\n", settings.node_name);
    return EXIT_SUCCESS;
  }
  return run_controller(&settings);
}
