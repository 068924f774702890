#include "tool_int.h"

#define NAME_SIZE 40

static const tool_verb_t verbs[] = {
	{ "answers", "template", "print a questionnaire to fill in",
	  tool_answers_template },
	{ "answers", "check", "name every fault of filled-in answers",
	  tool_answers_check },
	{ "config", "generate", "print the configuration for answers",
	  tool_config_generate },
	{ "config", "diff", "say what changes between two configurations",
	  tool_config_diff },
	{ "config", "approve", "put a generated configuration in force",
	  tool_config_approve },
	{ NULL, "rollout", "who has which configuration, and since when",
	  tool_rollout },
	{ NULL, "status", "pools, budgets and entries at a glance",
	  tool_status },
	{ NULL, "plan", "what would happen now, and why the rest waits",
	  tool_plan },
	{ NULL, "explain", "why an instance, a pool or a job is as it is",
	  tool_explain },
	{ NULL, "drain", "take one instance out, or reboot it", tool_drain },
	{ NULL, "wave", "start, pause, resume or abort maintenance",
	  tool_wave },
	{ "jobs", "submit", "hand in a file of jobs", tool_jobs_submit },
	{ "jobs", "list", "jobs and their states", tool_jobs_list },
	{ "jobs", "cancel", "take a job back", tool_jobs_cancel },
	{ "jobs", "release", "queue a held job again", tool_jobs_release },
};

static const tool_verb_t *find_verb(int argc, char **argv, int *n_words);
static void full_name(const tool_verb_t *verb, char name[NAME_SIZE]);
static void usage(FILE *out);

int tool_run(int argc, char **argv, FILE *out, FILE *err)
{
	const tool_verb_t *verb;
	char name[NAME_SIZE];
	int n_words = 0;

	if (argc > 1 &&
	    (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"))) {
		usage(out);
		return TOOL_OK;
	}
	verb = find_verb(argc, argv, &n_words);
	if (!verb) {
		fprintf(err, "cactusfield: no such verb\n");
		usage(err);
		return TOOL_USAGE;
	}
	full_name(verb, name);
	argv[n_words] = name;
	return tool_progress_run(verb, argc - n_words, argv + n_words, out,
				 err);
}

static const tool_verb_t *find_verb(int argc, char **argv, int *n_words)
{
	for (size_t i = 0; i < ARRAY_SIZE(verbs); i++) {
		const tool_verb_t *verb = &verbs[i];

		*n_words = verb->group ? 2 : 1;
		if (argc <= *n_words || strcmp(argv[*n_words], verb->name))
			continue;
		if (!verb->group || !strcmp(argv[1], verb->group))
			return verb;
	}
	return NULL;
}

/* Writes the verb with its group, as "config diff". */
static void full_name(const tool_verb_t *verb, char name[NAME_SIZE])
{
	snprintf(name, NAME_SIZE, "%s%s%s", verb->group ? verb->group : "",
		 verb->group ? " " : "", verb->name);
}

static void usage(FILE *out)
{
	fprintf(out, "usage: cactusfield VERB [--help] ...\n\n");
	for (size_t i = 0; i < ARRAY_SIZE(verbs); i++) {
		char name[NAME_SIZE];

		full_name(&verbs[i], name);
		fprintf(out, "  %-20s %s\n", name, verbs[i].summary);
	}
	fprintf(out, "\nexit status: 0 done, 1 refused, 2 wrong command line, "
		     "3 another change\ncame first, 4 unreachable, 5 in "
		     "doubt\n");
}
