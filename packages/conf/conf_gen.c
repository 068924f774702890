/* Generates a configuration from answers. */
#include "conf_int.h"

char *conf_generate(const void *ctx, const conf_answers_t *answers,
		    GError **err)
{
	void *tmp = talloc_new(NULL);
	conf_t conf = *answers;
	char digest[CONF_DIGEST_LEN + 1];
	json_t *root;
	char *text;

	conf.pools = talloc_memdup(tmp, answers->pools,
				   answers->n_pools * sizeof(*answers->pools));
	conf.generated = base_str(CONF_NOTICE);
	conf.digest = base_str("");
	conf_derive(tmp, &conf);
	root = conf_encode(&conf, CONF_IN_CONFIG);
	conf_digest(root, digest);
	json_object_set_new(root, "digest", json_string(digest));
	text = conf_print(ctx, root);
	json_decref(root);
	talloc_free(tmp);
	if (strlen(text) > CONF_TEXT_MAX) {
		g_set_error(err, CONF_ERROR, CONF_ERR_SCHEMA,
			    "the configuration has %zu bytes; a store's value "
			    "holds %d",
			    strlen(text), CONF_TEXT_MAX);
		TALLOC_FREE(text);
	}
	return text;
}

char *conf_print(const void *ctx, const json_t *root)
{
	char *dump = json_dumps(root, JSON_INDENT(2));
	char *text = talloc_asprintf(ctx, "%s\n", dump);

	free(dump);
	return text;
}
