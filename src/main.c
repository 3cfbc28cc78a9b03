#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "admission/admission_policy.h"
#include "controller/controller.h"
#include "base/log.h"

#define EXIT_SETTINGS 2

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

int main(int argc, const char **argv) {
  char *conf = NULL, *op = NULL;
  int check = 0, version = 0, rc;
  struct poptOption opts[] = {
      {"config", 'c', POPT_ARG_STRING, &conf, 0, "settings handed over by the platform (JSON)",
       "FILE"},
      {"operator-config", 'o', POPT_ARG_STRING, &op, 0, "the operators' own settings (TOML)",
       "FILE"},
      {"check", 0, POPT_ARG_NONE, &check, 0, "check the settings and exit", NULL},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version and exit", NULL},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext pc = poptGetContext("tallymux", argc, argv, opts, 0);
  poptSetOtherOptionHelp(pc, "--config FILE [--operator-config FILE] [--check]");
  rc = poptGetNextOpt(pc);
  if (rc < -1) {
    fprintf(stderr, "tallymux: %s: %s\n", poptBadOption(pc, 0), poptStrerror(rc));
    return EXIT_SETTINGS;
  }
  if (poptPeekArg(pc)) {
    fprintf(stderr, "tallymux: %s: unexpected argument\n", poptPeekArg(pc));
    return EXIT_SETTINGS;
  }
  if (version) {
    printf("tallymux %s\n", TMX_VERSION);
    return 0;
  }
  if (!conf) {
    fprintf(stderr, "tallymux: --config: missing (see --help)\n");
    return EXIT_SETTINGS;
  }
  static struct tmx_settings settings;
  char err[1024];
  if (!tmx_settings_load(&settings, conf, err, sizeof err) ||
      (op && !tmx_operator_load(&settings.operators, op, err, sizeof err)) ||
      !tmx_admission_resolve(&settings, err, sizeof err)) {
    fprintf(stderr, "tallymux: %s\n", err);
    return EXIT_SETTINGS;
  }
  poptFreeContext(pc);
  if (check) {
    printf("settings of %s are valid\n", settings.node_name);
    return 0;
  }
  signal(SIGPIPE, SIG_IGN);
  tmx_log_init(settings.node_name);
  struct ev_loop *loop = ev_default_loop(EVFLAG_NOSIGMASK);
  struct tmx_controller *controller =
      loop ? tmx_controller_new(loop, &settings, err, sizeof err) : NULL;
  if (!controller) {
    fprintf(stderr, "tallymux: %s\n", loop ? err : "no event loop");
    return EXIT_SETTINGS;
  }
  if (settings.operators.admission.enabled) report_on_signal(loop, controller);
  tmx_log(TMX_LOG_INFO, "tallymux %s serves %s", TMX_VERSION, settings.listen);
  ev_run(loop, 0);
  return 0;
}
