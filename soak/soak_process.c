/*
 * Child processes: starts, signals, reaps and restarts the programs.
 */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak_int.h"

/* Longest time from SIGTERM to the exit: twice the setting grace_s, to allow
 * for a busy machine. */
#define PROCESS_STOP_MAX (12 * BASE_SEC)
/* A slow process is stopped for the second part of each period.  On a machine
 * with a small share of a processor the rounds of a loop get as long. */
#define PROCESS_SLOW_PERIOD (500 * BASE_MS)
#define PROCESS_SLOW_RUNS (100 * BASE_MS)

soak_process_t *soak_process_new(soak_t *soak, const char *name,
				 char *const *argv)
{
	soak_process_t *process = talloc_zero(soak, soak_process_t);
	size_t n = 0;
	size_t i;

	while (argv[n])
		n++;
	process->soak = soak;
	process->name = talloc_strdup(process, name);
	process->log =
		talloc_asprintf(process, "%s/%s.log", soak->work_dir, name);
	process->argv = talloc_zero_array(process, char *, n + 1);
	for (i = 0; i < n; i++)
		process->argv[i] = talloc_strdup(process, argv[i]);
	return process;
}

static void exec_program(const soak_process_t *process)
{
	int fd = open(process->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
		      0644);

	/* The child is killed if this process ends. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execv(process->argv[0], process->argv);
	_exit(127);
}

void soak_process_start(soak_process_t *process)
{
	process->started_at = base_clock_mono();
	process->restart_at = 0;
	process->terminated_at = 0;
	process->is_exit_expected = false;
	process->is_paused = false;
	process->is_slow = false;
	process->pid = fork();
	if (!process->pid)
		exec_program(process);
	if (process->pid < 0) {
		process->pid = 0;
		soak_report_violation(process->soak, "%s: cannot fork: %s",
				      process->name, g_strerror(errno));
	}
}

void soak_process_signal(soak_process_t *process, int signo)
{
	if (!process->pid)
		return;
	kill(process->pid, signo);
	if (signo == SIGKILL || signo == SIGSTOP || signo == SIGCONT)
		soak_process_disturb(process, base_clock_mono());
	if (signo == SIGKILL)
		process->is_exit_expected = true;
	else if (signo == SIGTERM && !process->terminated_at)
		process->terminated_at = base_clock_mono();
	else if (signo == SIGSTOP)
		process->is_paused = true;
	else if (signo == SIGCONT)
		process->is_paused = false;
}

void soak_process_disturb(soak_process_t *process, int64_t until)
{
	process->disturbed_at = MAX(process->disturbed_at, until);
}

bool soak_process_is_calm(const soak_process_t *process, int64_t since)
{
	return !process->is_paused && process->disturbed_at < since;
}

static void slow_down(const soak_process_t *process, int64_t now)
{
	bool runs = now % PROCESS_SLOW_PERIOD < PROCESS_SLOW_RUNS;

	if (process->is_slow && !process->is_paused)
		kill(process->pid, runs ? SIGCONT : SIGSTOP);
}

static void handle_exit(soak_process_t *process, int status, int64_t now)
{
	if (process->terminated_at && !process->is_exit_expected && status)
		soak_report_violation(process->soak,
				      "%s: exit status %d after SIGTERM",
				      process->name, status);
	else if (!process->terminated_at && !process->is_exit_expected)
		soak_report_violation(
			process->soak,
			"%s: exited without a signal from the test, status %d",
			process->name, status);
	process->pid = 0;
	process->restart_at = now + process->restart_delay;
}

void soak_process_tick(soak_process_t *process, int64_t now)
{
	int status;

	if (!process->pid) {
		if (process->restart_at && now >= process->restart_at)
			soak_process_start(process);
		return;
	}
	if (waitpid(process->pid, &status, WNOHANG) == process->pid) {
		handle_exit(process, status, now);
		return;
	}
	slow_down(process, now);
	if (process->terminated_at && !process->is_paused &&
	    !process->is_exit_expected &&
	    now - process->terminated_at > PROCESS_STOP_MAX) {
		soak_report_violation(process->soak,
				      "%s: still running after SIGTERM",
				      process->name);
		soak_process_signal(process, SIGKILL);
	}
}

void soak_process_kill(soak_process_t *process)
{
	if (!process->pid)
		return;
	soak_process_signal(process, SIGCONT);
	soak_process_signal(process, SIGKILL);
	waitpid(process->pid, NULL, 0);
	process->pid = 0;
}
