/*
 * Lines by path.  Jansson gives no line for a value, so that a second pass
 * over a text that it has accepted finds them.  The pass may rely on the text
 * being valid JSON that ends in a NUL.
 */
#include "conf_int.h"

#define DEPTH_MAX 8 /* levels that are indexed; the schemas have fewer */

struct conf_pos {
	GHashTable *lines; /* path to line */
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
static void scan_member(scan_t *sc, char *below);
static char *scan_string(scan_t *sc);
static void note(scan_t *sc, const char *path, int line);
static bool plain_key(const char *key);

conf_pos_t *conf_pos_new(const void *ctx, base_str_t text,
			 conf_faults_t *faults)
{
	conf_pos_t *pos = talloc_zero(ctx, conf_pos_t);
	scan_t sc = { text.ptr, text.ptr + text.len, 1, 0, pos, faults };

	pos->lines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	talloc_set_destructor(pos, pos_free);
	skip_space(&sc);
	note(&sc, "$", sc.line);
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

	if (plain_key(key))
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
		char *below = conf_path_key(NULL, path, key);

		if (g_hash_table_contains(seen, key))
			conf_fault_add(sc->faults, below, line,
				       "the same key again",
				       "each key once in an object");
		else
			note(sc, below, line);
		g_hash_table_add(seen, key);
		skip_space(sc);
		sc->at++; /* the colon */
		scan_member(sc, below);
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
		char *below = talloc_asprintf(NULL, "%s[%zu]", path, i++);

		note(sc, below, sc->line);
		scan_member(sc, below);
	}
	sc->at++;
	sc->depth--;
}

/* A value at the path "below", which is released, and the comma after it. */
static void scan_member(scan_t *sc, char *below)
{
	scan_value(sc, sc->depth < DEPTH_MAX ? below : "");
	talloc_free(below);
	skip_space(sc);
	if (sc->at < sc->end && *sc->at == ',')
		sc->at++;
}

/* The string at "at" without its escapes, to be freed with free(3). */
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

static void note(scan_t *sc, const char *path, int line)
{
	if (sc->depth <= DEPTH_MAX)
		g_hash_table_insert(sc->pos->lines, g_strdup(path),
				    GINT_TO_POINTER(line));
}

static bool plain_key(const char *key)
{
	for (const char *c = key; *c; c++)
		if (!g_ascii_isalnum(*c) && *c != '_' && *c != '-')
			return false;
	return *key != '\0';
}
