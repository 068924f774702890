#include "tool_int.h"

/*
 * rollout: print which generation each entry has and how long each step took,
 * as one entry knows it.  Its data on itself are exact; its data on others may
 * lag by some seconds.
 */

#define US_PER_MS 1000

static json_t *request_rollout(const void *ctx, const struct arg_str *entries,
			       FILE *err);
static int print_table(const json_t *answer, FILE *out);
static void print_steps(const json_t *answer, FILE *out);
static json_int_t newest_generation(const json_t *members);
static json_int_t first_in_force_us(const json_t *members,
				    json_int_t generation);
static bool is_present(const json_t *member);
static const char *get_string(const json_t *object, const char *key);
static json_int_t get_int(const json_t *object, const char *key);

int tool_rollout(int argc, char **argv, FILE *out, FILE *err)
{
	struct arg_lit *help = tool_arg_help();
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *entries =
		arg_strn(NULL, "entry", "ADDRESS:PORT", 1, 64,
			 "operators' port of an entry; the first that answers "
			 "is asked");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, json, entries, end };
	void *ctx = talloc_new(NULL);
	json_t *answer = NULL;
	int status = TOOL_OK;

	if (!tool_parse(argc, argv, table, end, out, err, &status))
		goto out;
	answer = request_rollout(ctx, entries, err);
	if (!answer) {
		status = TOOL_UNREACHABLE;
	} else if (json->count) {
		json_dumpf(answer, out, JSON_INDENT(2) | JSON_SORT_KEYS);
		fputc('\n', out);
	} else {
		status = print_table(answer, out);
		print_steps(answer, out);
	}
out:
	json_decref(answer);
	arg_freetable(table, ARRAY_SIZE(table));
	talloc_free(ctx);
	return status;
}

static json_t *request_rollout(const void *ctx, const struct arg_str *entries,
			       FILE *err)
{
	for (int i = 0; i < entries->count; i++) {
		plat_address_t address;
		GError *cause = NULL;
		json_t *answer;

		if (!tool_address(ctx, entries->sval[i], &address, err))
			continue;
		tool_progress_set_peer(entries->sval[i]);
		answer = plat_get_json(&address, "/rollout", &cause);
		if (answer)
			return answer;
		fprintf(err, "%s does not answer: %s\n", entries->sval[i],
			cause->message);
		g_clear_error(&cause);
	}
	return NULL;
}

/* Returns TOOL_REFUSED while a present entry has an older generation. */
static int print_table(const json_t *answer, FILE *out)
{
	const json_t *members = json_object_get(answer, "members");
	json_int_t newest = newest_generation(members);
	json_int_t first = first_in_force_us(members, newest);
	int status = TOOL_OK, n_in_force = 0, n_present = 0;
	json_t *member;
	size_t i;

	fprintf(out, "%-16s %-18s %-8s %10s  %s\n", "ENTRY", "ZONE", "STATE",
		"GENERATION", "IN FORCE");
	json_array_foreach(members, i, member)
	{
		json_int_t generation = get_int(member, "generation");
		json_int_t us = get_int(member, "in_force_us") - first;

		fprintf(out, "%-16s %-18s %-8s %10lld  ",
			get_string(member, "id"), get_string(member, "zone"),
			get_string(member, "state"), (long long)generation);
		if (generation == newest && newest)
			fprintf(out, "%lld.%03lld ms after the first\n",
				(long long)(us / US_PER_MS),
				(long long)(us % US_PER_MS));
		else
			fputs(is_present(member) ? "not yet\n" : "-\n", out);
		if (!is_present(member))
			continue;
		n_present++;
		n_in_force += generation == newest;
	}
	fprintf(out, "\ngeneration %lld is in force on %d of %d entries\n",
		(long long)newest, n_in_force, n_present);
	if (n_in_force < n_present)
		status = TOOL_REFUSED;
	return status;
}

static void print_steps(const json_t *answer, FILE *out)
{
	const json_t *config = json_object_get(answer, "config");
	json_int_t heard = get_int(config, "heard_us");
	json_int_t in_force = get_int(config, "in_force_us");

	if (!json_is_object(config))
		return;
	fprintf(out,
		"%s: change %s, %lld bytes from %s, in force %lld us after it "
		"was heard of\n",
		get_string(answer, "entry"), get_string(config, "change"),
		(long long)get_int(config, "bytes"),
		get_string(config, "source"), (long long)(in_force - heard));
}

static json_int_t newest_generation(const json_t *members)
{
	json_int_t newest = 0;
	json_t *member;
	size_t i;

	json_array_foreach((json_t *)members, i, member) newest =
		MAX(newest, get_int(member, "generation"));
	return newest;
}

static json_int_t first_in_force_us(const json_t *members,
				    json_int_t generation)
{
	json_int_t first = 0;
	json_t *member;
	size_t i;

	json_array_foreach((json_t *)members, i, member)
	{
		json_int_t us = get_int(member, "in_force_us");

		if (get_int(member, "generation") == generation &&
		    (!first || us < first))
			first = us;
	}
	return first;
}

static bool is_present(const json_t *member)
{
	const char *state = get_string(member, "state");

	return !strcmp(state, "alive") || !strcmp(state, "suspect");
}

static const char *get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}

static json_int_t get_int(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}
