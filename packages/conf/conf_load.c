/* Parses answers and configurations. */
#include <xxhash.h>

#include "conf_int.h"

#define FAULTS_SHOWN_MAX 3 /* faults described in one error */

static conf_t *decode_checked(const conf_reader_t *rd, const json_t *root,
			      conf_error_t *code);
static void check_digest(const conf_reader_t *rd, const conf_t *conf,
			 const json_t *root);

BASE_ERROR_DOMAIN(conf)

json_t *conf_parse(base_str_t text, size_t flags, conf_faults_t *faults,
		   conf_error_t *code)
{
	json_error_t error;
	json_t *root;

	if (text.len > CONF_TEXT_MAX) {
		conf_fault_add(faults, "$", 1, "more than a megabyte",
			       "a text that a store's value can hold");
		return NULL;
	}
	root = json_loadb(text.ptr, text.len, JSON_DECODE_ANY | flags, &error);
	if (root)
		return root;
	if (json_error_code(&error) == json_error_duplicate_key && code)
		*code = CONF_ERR_SCHEMA;
	conf_fault_add(faults, "$", error.line > 0 ? error.line : 1, error.text,
		       code && *code == CONF_ERR_SCHEMA
			       ? "each key once in an object"
			       : "JSON");
	return NULL;
}

conf_answers_t *conf_answers_load(const void *ctx, base_str_t text,
				  conf_faults_t *faults)
{
	size_t before = faults->n;
	json_t *root = conf_parse(text, 0, faults, NULL);
	conf_pos_t *pos;
	conf_t *conf;

	if (!root)
		return NULL;
	pos = conf_pos_new(NULL, text, faults);
	conf_reader_t rd = { CONF_IN_ANSWERS, pos, faults, (void *)ctx };
	conf = conf_decode(&rd, root);
	conf_check(&rd, conf);
	conf_faults_sort(faults);
	if (faults->n > before)
		TALLOC_FREE(conf);
	else
		conf_index_build(conf);
	talloc_free(pos);
	json_decref(root);
	return conf;
}

conf_t *conf_load(const void *ctx, base_str_t json, GError **err)
{
	conf_faults_t *faults = conf_faults_new(NULL);
	conf_error_t code = CONF_ERR_SYNTAX;
	json_t *root = conf_parse(json, JSON_REJECT_DUPLICATES, faults, &code);
	conf_t *conf = NULL;

	if (root)
		conf = conf_from_tree(ctx, root, json, err);
	else
		conf_set_error(err, code, faults);
	json_decref(root);
	talloc_free(faults);
	return conf;
}

void conf_digest(const json_t *root, char out[CONF_DIGEST_LEN + 1])
{
	json_t *copy = json_copy((json_t *)root);
	XXH128_hash_t hash;
	char *dump;

	json_object_del(copy, "digest");
	dump = json_dumps(copy, JSON_COMPACT | JSON_SORT_KEYS);
	hash = XXH3_128bits(dump, strlen(dump));
	g_snprintf(out, CONF_DIGEST_LEN + 1, "%016llx%016llx",
		   (unsigned long long)hash.high64,
		   (unsigned long long)hash.low64);
	free(dump);
	json_decref(copy);
}

/*
 * Line numbers are computed by a second pass over the text, only after a
 * configuration was rejected.  Entries load every change and almost all are
 * valid, so this pass is rare.
 */
conf_t *conf_from_tree(const void *ctx, const json_t *root, base_str_t text,
		       GError **err)
{
	conf_faults_t *faults = conf_faults_new(NULL);
	conf_reader_t rd = { CONF_IN_CONFIG, NULL, faults, (void *)ctx };
	conf_error_t code = CONF_ERR_SCHEMA;
	conf_t *conf = decode_checked(&rd, root, &code);

	if (!conf) {
		faults->n = 0;
		rd.pos = conf_pos_new(faults, text, faults);
		decode_checked(&rd, root, &code);
		conf_faults_sort(faults);
		conf_set_error(err, code, faults);
	}
	talloc_free(faults);
	return conf;
}

static conf_t *decode_checked(const conf_reader_t *rd, const json_t *root,
			      conf_error_t *code)
{
	conf_t *conf = conf_decode(rd, root);

	*code = CONF_ERR_SCHEMA;
	if (!rd->faults->n) {
		*code = CONF_ERR_DIGEST;
		check_digest(rd, conf, root);
	}
	if (!rd->faults->n) {
		*code = CONF_ERR_SCHEMA;
		conf_check(rd, conf);
	}
	if (rd->faults->n)
		TALLOC_FREE(conf);
	else
		conf_index_build(conf);
	return conf;
}

static void check_digest(const conf_reader_t *rd, const conf_t *conf,
			 const json_t *root)
{
	char digest[CONF_DIGEST_LEN + 1];

	conf_digest(root, digest);
	if (!base_str_eq(conf->digest, base_str(digest)))
		conf_fault_at(
			rd, "$.digest", conf->digest.ptr,
			"the digest of what the file holds; it was edited "
			"by hand: revise the answers and generate again");
}

void conf_set_error(GError **err, conf_error_t code,
		    const conf_faults_t *faults)
{
	base_buf_t *buf = base_buf_new(NULL);

	for (size_t i = 0; i < faults->n && i < FAULTS_SHOWN_MAX; i++) {
		const conf_fault_t *f = &faults->v[i];

		base_buf_addf(buf, "%sline %d: %s: found %s; expected %s",
			      i ? "\n" : "", f->line, f->path, f->found,
			      f->want);
	}
	if (faults->n > FAULTS_SHOWN_MAX)
		base_buf_addf(buf, "\nand %zu more",
			      faults->n - FAULTS_SHOWN_MAX);
	g_set_error(err, CONF_ERROR, (int)code, "%s", buf->ptr);
	talloc_free(buf);
}
