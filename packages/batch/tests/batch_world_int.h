/*
 * batch_world_int - what the files of the world share.
 */
#ifndef BATCH_WORLD_INT_H
#define BATCH_WORLD_INT_H

#include "batch_world.h"

/* batch_world.c */
world_job_t *world_job_of(world_t *world, const char *id);
world_worker_t *world_worker_of(world_t *world, const char *id);
bool world_chance(world_t *world, int in_hundred);

/* batch_world_judge.c: the rules, from the world's own records. */
void world_broke(world_t *world, const char *rule, const world_run_t *run);
char *world_task_text(const world_run_t *run);
bool world_same_task(const world_run_t *a, const world_run_t *b);
void world_judge_start(world_t *world, const world_worker_t *worker,
		       const world_run_t *run, bool late);
/* Ends up to "up_to" are noted: they are forgotten there, and count. */
void world_judge_ends(world_t *world, world_worker_t *worker, int64_t up_to);
void world_judge_tails(world_t *world, world_worker_t *worker);

/* batch_world_worker.c: what a worker does with orders, time and looks. */
batch_answer_t world_worker_start(world_t *world, world_worker_t *worker,
				  const world_order_t *order);
batch_answer_t world_worker_stop(world_worker_t *worker,
				 const world_order_t *order);
void world_worker_pace(world_worker_t *worker, const world_run_t *named,
		       int percent);
void world_worker_run(world_t *world, world_worker_t *worker);
void world_worker_look(world_t *world, world_worker_t *worker);

#endif
