/*
 * tool_int - declarations private to this package.
 */
#ifndef TOOL_INT_H
#define TOOL_INT_H

#include <argtable2.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "conf.h"
#include "tool.h"

/* Environment variable with the path of the operators' key file. */
#define TOOL_KEY_FILE "CACTUSFIELD_KEY_FILE"

/*
 * Parses the arguments of a verb.  Returns false when the verb must return
 * "*status" at once, because help or errors were printed.
 */
bool tool_parse(int argc, char **argv, void **table, struct arg_end *end,
		FILE *out, FILE *err, int *status);

/* Options of several verbs; "min_count" is 0 where the option is optional. */
struct arg_lit *tool_arg_help(void);
struct arg_str *tool_arg_store(int min_count);
struct arg_str *tool_arg_list(int min_count);

/*
 * Parses "ADDRESS:PORT" with an IPv4 address and adds the key from
 * TOOL_KEY_FILE. Prints an error and returns false when "text" is malformed.
 */
bool tool_address(const void *ctx, const char *text, plat_address_t *address,
		  FILE *err);

/*
 * Runs a verb.  From the first second on, prints once a second which peer it
 * waits for.
 */
int tool_progress_run(const tool_verb_t *verb, int argc, char **argv, FILE *out,
		      FILE *err);

/* Sets the peer that progress messages name. */
void tool_progress_set_peer(const char *peer);

/*
 * Returns the content of a file, allocated on "ctx", or NULL after printing an
 * error.
 */
char *tool_read_file(const void *ctx, const char *path, FILE *err);

/*
 * Returns the validated answers, allocated on "ctx", or NULL after printing
 * every fault.
 */
conf_answers_t *tool_read_answers(const void *ctx, const char *path, FILE *err);

/* The verbs. */
int tool_answers_template(int argc, char **argv, FILE *out, FILE *err);
int tool_answers_check(int argc, char **argv, FILE *out, FILE *err);
int tool_config_generate(int argc, char **argv, FILE *out, FILE *err);
int tool_config_diff(int argc, char **argv, FILE *out, FILE *err);
int tool_config_approve(int argc, char **argv, FILE *out, FILE *err);
int tool_rollout(int argc, char **argv, FILE *out, FILE *err);
int tool_status(int argc, char **argv, FILE *out, FILE *err);
int tool_plan(int argc, char **argv, FILE *out, FILE *err);
int tool_explain(int argc, char **argv, FILE *out, FILE *err);
int tool_drain(int argc, char **argv, FILE *out, FILE *err);
int tool_wave(int argc, char **argv, FILE *out, FILE *err);
int tool_jobs_submit(int argc, char **argv, FILE *out, FILE *err);
int tool_jobs_list(int argc, char **argv, FILE *out, FILE *err);
int tool_jobs_cancel(int argc, char **argv, FILE *out, FILE *err);
int tool_jobs_release(int argc, char **argv, FILE *out, FILE *err);

/*
 * Sends a request to the holder of the lease for jobs, through the first entry
 * that answers: a GET if "body" is NULL, else a POST.  Returns the answer, or
 * NULL after printing an error.
 */
json_t *tool_jobs_request(const void *ctx, const struct arg_str *entries,
			  const char *path, const char *body, FILE *err);

/* Returns the exit status for an answer; prints the reason of a refusal. */
int tool_jobs_status(const json_t *answer, FILE *err);

/* Returns "path" with the job "id" as its query parameter. */
char *tool_jobs_path(const void *ctx, const char *path, const char *id);

#endif
