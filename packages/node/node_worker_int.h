/*
 * node_worker_int - internal interface of the files about the holder's links to
 * workers: node_worker.c (links and polls), node_worker_list.c (the list of
 * workers) and node_order.c (orders).
 */
#ifndef NODE_WORKER_INT_H
#define NODE_WORKER_INT_H

#include "node_int.h"

struct node_worker {
	node_holder_t *holder;
	char *id;
	char *address;
	node_link_t *link;
	node_link_t *former_link; /* at its former address, for late answers */
	int64_t moved_at;	  /* when its address changed; 0: never */
	net_timer_t *timer;
	int64_t clock;	     /* last known reading of its clock; -1: unknown */
	int64_t clock_at;    /* monotonic time of that reading */
	int64_t granted;     /* end, on its clock, of the last lease */
	int64_t lease_end;   /* monotonic, for the slowest clock allowed */
	int64_t incarnation; /* as last polled; 0: not polled yet */
	int64_t polled_at;
	int64_t poll_sent_at;
	int64_t poll_timeout;
	int64_t acknowledged; /* the last end that it was told to discard */
	int64_t discarded;    /* the same, in a poll that was answered */
	int64_t poll_acknowledges; /* what the open poll tells; 0: nothing */
	/* An acknowledgement without an answer may be carried out until then,
	 * also by the worker's next process. */
	int64_t acknowledged_until;
	/* The same of calls that grant a lease. */
	int64_t granted_until;
	int64_t restarted_at; /* when another process was found; 0: never */
	int64_t list_round;   /* number of the list in which the worker was last
				 seen */
	bool is_polling;
	bool poll_grants; /* the open poll grants a lease */
	/* In holder->awaiting_stored while the next poll waits until ends are
	 * stored; its data is NULL otherwise. */
	GList awaits_stored;
	bool has_seen_term; /* it rejects orders of earlier terms */
	bool is_listed;
	bool is_silent;	   /* the last poll had no answer */
	bool has_answered; /* at its address */
};

/* A link to a worker, in holder->worker_links; NULL: the address is not valid.
 */
node_worker_t *node_worker_new(node_holder_t *holder, const char *id,
			       const char *address);
/*
 * Returns the end, on the worker's clock, of a lease granted now, and records
 * when it ends at the latest.  Returns -1 while that clock is unknown.
 */
int64_t node_worker_grant_lease(node_worker_t *worker);
/*
 * A call that was sent at "sent", microseconds, and granted a lease has no
 * answer.  The worker's next process may carry it out late, and takes a lease
 * on the clock of the former one for up to the longest one allowed.
 */
void node_worker_grant_unanswered(node_worker_t *worker, int64_t sent);
/*
 * The worker answered an order with this reading of its clock.  One that cannot
 * be of the process that was polled last is of a later one.
 */
void node_worker_clock_read(node_worker_t *worker, int64_t clock);
/*
 * The entry has another address: the worker restarted there, or another writer
 * named it.  Its runs are lost only once it answers there as another
 * incarnation, or when their lease ends.
 */
void node_worker_set_address(node_worker_t *worker, const char *address);
void node_worker_schedule_poll(node_worker_t *worker, int64_t delay);

#endif
