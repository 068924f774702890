/*
 * Line numbers by path.  Jansson does not report the line of a value, so a
 * second pass over text that jansson accepted records the lines.  The pass
 * relies on the text being valid JSON.
 */
#include "conf_int.h"

#define DEPTH_MAX 8 /* nesting levels indexed; the schemas use fewer */

struct conf_pos {
	GHashTable *lines; /* path to line number */
};

typedef struct scan {
	const char *at;
	const char *end;
	int line;
	int depth;
	conf_pos_t *pos;
	conf_faults_t *faults;
} scan_t;

static int pos_free(conf_pos_t *pos);
static void skip_space(scan_t *sc);
static void scan_value(scan_t *sc, const char *path);
static void scan_object(scan_t *sc, const char *path);
static void scan_list(scan_t *sc, const char *path);
static void scan_member(scan_t *sc, char *child_path);
static char *scan_string(scan_t *sc);
static void record_line(scan_t *sc, const char *path, int line);
static bool is_plain_key(const char *key);

conf_pos_t *conf_pos_new(const void *ctx, base_str_t text,
			 conf_faults_t *faults)
{
	conf_pos_t *pos = talloc_zero(ctx, conf_pos_t);
	scan_t sc = { text.ptr, text.ptr + text.len, 1, 0, pos, faults };

	pos->lines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(pos, pos_free);
	skip_space(&sc);
	record_line(&sc, "$", sc.line);
	scan_value(&sc, "$");
	return pos;
}

int conf_pos_line(const conf_pos_t *pos, const char *path)
{
	char *copy = pos ? g_strdup(path) : NULL;
	int line = 0;

	while (copy && !line && copy[0]) {
		size_t len = strlen(copy);

		line = GPOINTER_TO_INT(g_hash_table_lookup(pos->lines, copy));
		while (len > 1 && copy[len - 1] != '.' && copy[len - 1] != '[')
			len--;
		copy[len - 1] = '\0';
	}
	g_free(copy);
	return line ? line : 1;
}

char *conf_path_key(const void *ctx, const char *path, const char *key)
{
	base_buf_t *buf;
	char *out;

	if (is_plain_key(key))
		return talloc_asprintf(ctx, "%s.%s", path, key);
	buf = base_buf_new(NULL);
	base_buf_addf(buf, "%s[", path);
	base_buf_add_json(buf, base_str(key));
	base_buf_adds(buf, "]");
	out = base_str_dup(ctx, base_buf_str(buf));
	talloc_free(buf);
	return out;
}

static int pos_free(conf_pos_t *pos)
{
	g_hash_table_destroy(pos->lines);
	return 0;
}

static void skip_space(scan_t *sc)
{
	while (sc->at < sc->end && strchr(" \t\r\n", *sc->at)) {
		if (*sc->at == '\n')
			sc->line++;
		sc->at++;
	}
}

static void scan_value(scan_t *sc, const char *path)
{
	skip_space(sc);
	if (sc->at >= sc->end)
		return;
	if (*sc->at == '{') {
		scan_object(sc, path);
	} else if (*sc->at == '[') {
		scan_list(sc, path);
	} else if (*sc->at == '"') {
		free(scan_string(sc));
	} else {
		while (sc->at < sc->end && !strchr(" \t\r\n,]}", *sc->at))
			sc->at++;
	}
}

static void scan_object(scan_t *sc, const char *path)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, free, NULL);

	sc->depth++;
	sc->at++;
	for (skip_space(sc); sc->at < sc->end && *sc->at != '}';
	     skip_space(sc)) {
		int line = sc->line;
		char *key = scan_string(sc);
		char *child_path = conf_path_key(NULL, path, key);

		if (g_hash_table_contains(seen, key))
			conf_fault_add(sc->faults, child_path, line,
				       "the same key again",
				       "each key once in an object");
		else
			record_line(sc, child_path, line);
		g_hash_table_add(seen, key);
		skip_space(sc);
		sc->at++; /* skip the colon */
		scan_member(sc, child_path);
	}
	sc->at++;
	sc->depth--;
	g_hash_table_destroy(seen);
}

static void scan_list(scan_t *sc, const char *path)
{
	size_t i = 0;

	sc->depth++;
	sc->at++;
	for (skip_space(sc); sc->at < sc->end && *sc->at != ']';
	     skip_space(sc)) {
		char *child_path = talloc_asprintf(NULL, "%s[%zu]", path, i++);

		record_line(sc, child_path, sc->line);
		scan_member(sc, child_path);
	}
	sc->at++;
	sc->depth--;
}

/* Scans the value at "child_path", which is freed, and its comma. */
static void scan_member(scan_t *sc, char *child_path)
{
	scan_value(sc, sc->depth < DEPTH_MAX ? child_path : "");
	talloc_free(child_path);
	skip_space(sc);
	if (sc->at < sc->end && *sc->at == ',')
		sc->at++;
}

/* Decodes the string at the cursor; the caller frees it with free(3). */
static char *scan_string(scan_t *sc)
{
	const char *begin = sc->at++;
	json_t *json;
	char *text;

	while (sc->at < sc->end && *sc->at != '"')
		sc->at += *sc->at == '\\' ? 2 : 1;
	sc->at++;
	json = json_loadb(begin, (size_t)(sc->at - begin), JSON_DECODE_ANY,
			  NULL);
	text = strdup(json ? json_string_value(json) : "");
	json_decref(json);
	return text;
}

static void record_line(scan_t *sc, const char *path, int line)
{
	if (sc->depth <= DEPTH_MAX)
		g_hash_table_insert(sc->pos->lines, g_strdup(path),
				    GINT_TO_POINTER(line));
}

static bool is_plain_key(const char *key)
{
	for (const char *c = key; *c; c++)
		if (!g_ascii_isalnum(*c) && *c != '_' && *c != '-')
			return false;
	return *key != '\0';
}
