/*
 * Suspends a holder at a moment when orders wait in it for a connection.
 */
#include <signal.h>
#include <unistd.h>

#include "sp_int.h"

/* From the first order to the suspension: the holder makes its other orders in
 * this time. */
#define SUSPEND_DELAY (100 * BASE_MS)

/* Only a process of the same test gets a signal. */
static void signal_process(pid_t pid, int signo)
{
	if (getpgid(pid) == getpgrp())
		kill(pid, signo);
}

bool sp_suspend_park(sp_t *sp, pid_t *whom, int64_t token,
		     const sp_parked_t *parked)
{
	sp_suspension_t *suspension = &sp->suspension;

	if (*whom > 0 && !suspension->pid) {
		suspension->pid = *whom;
		suspension->due_us = base_clock_mono() + SUSPEND_DELAY;
		suspension->token = token;
		suspension->count = 0;
		suspension->is_cancelled = false;
		*whom = 0;
	}
	if (suspension->pid) {
		g_array_append_val(suspension->parked, *parked);
		return true;
	}
	if (suspension->token && suspension->token == token)
		suspension->count++;
	return false;
}

void sp_suspend_tick(sp_t *sp, int64_t now)
{
	sp_suspension_t *suspension = &sp->suspension;
	guint i;

	if (!suspension->pid || now < suspension->due_us)
		return;
	if (!suspension->is_cancelled) {
		signal_process(suspension->pid, SIGSTOP);
		suspension->suspended = suspension->pid;
	}
	suspension->pid = 0;
	for (i = 0; i < suspension->parked->len; i++) {
		sp_parked_t parked =
			g_array_index(suspension->parked, sp_parked_t, i);

		parked.handler(parked.arg, parked.exchange);
	}
	g_array_set_size(suspension->parked, 0);
}

void sp_suspend_cancel(sp_t *sp)
{
	sp_suspension_t *suspension = &sp->suspension;

	suspension->at_order = 0;
	suspension->at_start = 0;
	suspension->is_cancelled = true;
	if (suspension->suspended)
		signal_process(suspension->suspended, SIGCONT);
	suspension->suspended = 0;
}
