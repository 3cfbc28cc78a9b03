/* The program: command line, settings, start of the controller. */
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

/* Exit code for an invalid command line or setting, and for a start that failed. */
#define EXIT_SETTINGS 2
#define ERROR_BYTES 1024

static void on_report_signal(struct ev_loop *loop, ev_signal *watcher, int events) {
  (void)loop;
  (void)events;
  const struct tmx_controller *controller = watcher->data;
  tmx_controller_log_accounts(controller);
}

/* SIGUSR1 writes the accounts of admission to the log. */
static void report_on_signal(struct ev_loop *loop, struct tmx_controller *controller) {
  static ev_signal watcher;
  ev_signal_init(&watcher, on_report_signal, SIGUSR1);
  watcher.data = controller;
  ev_signal_start(loop, &watcher);
}

/* popt stores flags as int. */
struct command_line {
  char *settings_path;
  char *operator_settings_path;
  int check_only;
  int print_version;
};

/* Writes one line to standard error and returns false if the command line is invalid. */
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

/* On failure `error` holds one line that names the setting. */
static bool load_settings(const struct command_line *line, struct tmx_settings *settings,
                          char *error, size_t error_size) {
  if (!tmx_settings_load(settings, line->settings_path, error, error_size)) return false;
  if (line->operator_settings_path &&
      !tmx_operator_load(&settings->operators, line->operator_settings_path, error, error_size))
    return false;
  return tmx_admission_settings_resolve(settings, error, error_size);
}

/* Runs the controller; returns the exit code of the process. */
static int serve(const struct tmx_settings *settings) {
  char error[ERROR_BYTES];
  signal(SIGPIPE, SIG_IGN);
  tmx_log_init(settings->node_name);
  struct ev_loop *loop = ev_default_loop(EVFLAG_NOSIGMASK);
  if (!loop) {
    fprintf(stderr, "tallymux: no event loop\n");
    return EXIT_SETTINGS;
  }
  struct tmx_controller *controller = tmx_controller_new(loop, settings, error, sizeof error);
  if (!controller) {
    fprintf(stderr, "tallymux: %s\n", error);
    return EXIT_SETTINGS;
  }
  if (settings->operators.admission.enabled) report_on_signal(loop, controller);
  tmx_log(TMX_LOG_INFO, "tallymux %s serves %s", TMX_VERSION, settings->listen);
  ev_run(loop, 0);
  return EXIT_SUCCESS;
}

int main(int argc, const char **argv) {
  struct command_line line = {0};
  if (!parse_command_line(argc, argv, &line)) return EXIT_SETTINGS;
  if (line.print_version) {
    printf("tallymux %s\n", TMX_VERSION);
    return EXIT_SUCCESS;
  }
  static struct tmx_settings settings;
  char error[ERROR_BYTES];
  if (!load_settings(&line, &settings, error, sizeof error)) {
    fprintf(stderr, "tallymux: %s\n", error);
    return EXIT_SETTINGS;
  }
  if (line.check_only) {
    printf("settings of %s are valid\n", settings.node_name);
    return EXIT_SUCCESS;
  }
  return serve(&settings);
}
