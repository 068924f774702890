/*
 * The programs as children: started, signalled, waited for, started again.
 */
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak_int.h"

/* From SIGTERM to the end: the setting grace_s, and the same once more for a
 * machine that is busy. */
#define PROCESS_STOP_MAX (12 * BASE_SEC)

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
	process->log = talloc_asprintf(process, "%s/%s.log", soak->work, name);
	process->argv = talloc_zero_array(process, char *, n + 1);
	for (i = 0; i < n; i++)
		process->argv[i] = talloc_strdup(process, argv[i]);
	return process;
}

static void become_program(const soak_process_t *process)
{
	int fd = open(process->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
		      0644);

	/* Nothing that was started here outlives this program. */
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execv(process->argv[0], process->argv);
	_exit(127);
}

void soak_process_start(soak_process_t *process)
{
	process->started = base_clock_mono();
	process->restart_at = 0;
	process->terminated = 0;
	process->killed = false;
	process->paused = false;
	process->pid = fork();
	if (!process->pid)
		become_program(process);
	if (process->pid < 0) {
		process->pid = 0;
		soak_broke(process->soak, "%s cannot be started: %s",
			   process->name, g_strerror(errno));
	}
}

void soak_process_signal(soak_process_t *process, int signo)
{
	if (!process->pid)
		return;
	kill(process->pid, signo);
	if (signo == SIGKILL)
		process->killed = true;
	else if (signo == SIGTERM && !process->terminated)
		process->terminated = base_clock_mono();
	else if (signo == SIGSTOP)
		process->paused = true;
	else if (signo == SIGCONT)
		process->paused = false;
}

static void note_end(soak_process_t *process, int status, int64_t now)
{
	if (process->terminated && !process->killed && status)
		soak_broke(process->soak, "%s: status %d after SIGTERM",
			   process->name, status);
	else if (!process->terminated && !process->killed)
		soak_broke(process->soak, "%s ended by itself, status %d",
			   process->name, status);
	process->pid = 0;
	process->restart_at = now + process->restart_gap;
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
		note_end(process, status, now);
		return;
	}
	if (process->terminated && !process->paused && !process->killed &&
	    now - process->terminated > PROCESS_STOP_MAX) {
		soak_broke(process->soak, "%s does not stop", process->name);
		soak_process_signal(process, SIGKILL);
	}
}

void soak_process_end(soak_process_t *process)
{
	if (!process->pid)
		return;
	soak_process_signal(process, SIGCONT);
	soak_process_signal(process, SIGKILL);
	waitpid(process->pid, NULL, 0);
	process->pid = 0;
}
