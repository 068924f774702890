/*
 * tool_int - what the files of this package share.
 */
#ifndef TOOL_INT_H
#define TOOL_INT_H

#include <argtable2.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "conf.h"
#include "tool.h"

/* Environment: the file that holds the operators' key. */
#define TOOL_KEY_FILE "CACTUSFIELD_KEY_FILE"

/*
 * Parse a verb's arguments.  True when the verb is to go on; else "*status"
 * is what to return: "--help" was answered, or the errors told.
 */
bool tool_parse(int argc, char **argv, void **table, struct arg_end *end,
		FILE *out, FILE *err, int *status);

/* Options that several verbs have; "least" is 0 where one may be left out. */
struct arg_lit *tool_arg_help(void);
struct arg_str *tool_arg_store(int least);
struct arg_str *tool_arg_list(int least);

/*
 * "ADDRESS:PORT", the address an IP number; tells what is wrong.  The key is
 * that of TOOL_KEY_FILE.
 */
bool tool_address(const void *ctx, const char *text, plat_address_t *address,
		  FILE *err);

/* Run a verb; one that takes longer than a second says what it waits for. */
int tool_progress_run(const tool_verb_t *verb, int argc, char **argv, FILE *out,
		      FILE *err);

/* Who is asked from now on, for that. */
void tool_progress_ask(const char *who);

/* A whole file below "ctx", or NULL with the reason told. */
char *tool_read_file(const void *ctx, const char *path, FILE *err);

/* Checked answers below "ctx", or NULL with every fault told. */
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
 * The answer of the duty's holder, asked for through the first entry that
 * answers; "body" NULL for a GET.  NULL with the reason told.
 */
json_t *tool_jobs_ask(const void *ctx, const struct arg_str *entries,
		      const char *path, const char *body, FILE *err);

/* The exit status that an answer means; a refusal is told. */
int tool_jobs_status(const json_t *answer, FILE *err);

/* "path" about the job "id". */
char *tool_jobs_path(const void *ctx, const char *path, const char *id);

#endif
