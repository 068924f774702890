/*
 * batch_world_int - declarations shared by the files of the simulation.
 */
#ifndef BATCH_WORLD_INT_H
#define BATCH_WORLD_INT_H

#include "batch_world.h"

/* batch_world.c */
world_job_t *world_find_job(world_t *world, const char *id);
world_worker_t *world_find_worker(world_t *world, const char *id);
bool world_chance(world_t *world, int percent);

/* batch_world_advice.c */
GPtrArray *world_advice_new(void);
void world_advice_ask(world_t *world, const batch_question_t *asked);
void world_advice_advance(world_t *world);
void world_advice_forget(world_t *world);
bool world_ticket_is_valid(const world_t *world, base_str_t ticket);

/* batch_world_judge.c: checks the rules on the simulation's own records. */
void world_record_violation(world_t *world, const char *rule,
			    const world_run_t *run);
char *world_task_key(const world_run_t *run);
bool world_same_task(const world_run_t *a, const world_run_t *b);
void world_check_start(world_t *world, const world_worker_t *worker,
		       const world_run_t *run, bool late);
/* A stop has reached the run, which is at work. */
void world_check_stop(world_t *world, const world_worker_t *worker,
		      const world_run_t *run, bool late);
/* Whether the run's task crashes the worker that starts it. */
bool world_is_deadly(world_t *world, const world_run_t *run);
/* Whether a completed run of the task was acknowledged. */
bool world_is_acknowledged(world_t *world, const world_run_t *run);
/* Counts the crash for the deadly tasks on the worker. */
void world_count_crash(world_t *world, const world_worker_t *worker);
/* Acknowledges ends up to "up_to": the worker forgets them, and they count. */
void world_acknowledge_ends(world_t *world, world_worker_t *worker,
			    int64_t up_to);
void world_check_tails(world_t *world, world_worker_t *worker);

/* batch_world_worker.c: a worker's handling of orders, time and polls. */
batch_answer_t world_worker_start(world_t *world, world_worker_t *worker,
				  const world_order_t *order);
batch_answer_t world_worker_stop(world_t *world, world_worker_t *worker,
				 const world_order_t *order);
/* The capacity that the runs use, with those that are being stopped. */
batch_res_t world_worker_used(const world_worker_t *worker);
void world_worker_pace(world_worker_t *worker, const world_run_t *named,
		       int percent);
/* Ends the runs of the gang that the run belongs to. */
void world_worker_break_gang(const world_t *world, world_worker_t *worker,
			     const world_run_t *member);
void world_worker_advance(world_t *world, world_worker_t *worker);
void world_worker_poll(world_t *world, world_worker_t *worker);
/* The answer to the poll reaches the holder. */
void world_worker_answer_poll(world_t *world, world_worker_t *worker);

#endif
