#include "fleet_int.h"

/*
 * Values, see docs/design/ownership.md:
 *
 *   pools/ZONE/SHARD  {"instances": {ID: {"inc", "seq", "pool", "state",
 *                      "since", "maintained"[, "for"][, "to"]}}}
 *   budget/POOL       {"fence", "grants": [{"id", "seq", "for"[, "to"]}]}
 *   orders            {ID: {"for", "at"}}
 */

static int64_t known_rev(const fleet_t *fleet, const char *key);
static void set_rev(fleet_t *fleet, const char *key, int64_t rev);
static bool load_shard(fleet_t *fleet, const char *name, json_t *root,
		       int64_t rev);
static bool load_acct(fleet_t *fleet, const char *name, json_t *root,
		      int64_t rev);
static bool load_wave(fleet_t *fleet, const char *name, json_t *root,
		      int64_t rev);
static bool load_orders(fleet_t *fleet, const char *name, json_t *root,
			int64_t rev);
static fleet_inst_t *place_recorded(fleet_t *fleet, fleet_inst_t *inst,
				    const char *id, const char *zone);
static bool decode_rec(fleet_t *fleet, json_t *obj, fleet_rec_t *rec);
static bool decode_grant(fleet_t *fleet, const void *ctx, json_t *obj,
			 fleet_grant_t *grant);
static bool decode_to(fleet_t *fleet, json_t *obj, fleet_purpose_t purpose,
		      int32_t *to);
static json_t *encode_rec(const fleet_t *fleet, const fleet_rec_t *rec);
static char *dump(const void *ctx, json_t *root);
static json_t *parse(base_str_t value);

static const struct {
	const char *prefix;
	bool is_whole_key; /* "prefix" is the whole key */
	bool (*load)(fleet_t *, const char *, json_t *, int64_t);
} record_kinds[] = {
	{ FLEET_POOLS_PREFIX, false, load_shard },
	{ FLEET_BUDGET_PREFIX, false, load_acct },
	{ FLEET_WAVE_KEY, true, load_wave },
	{ FLEET_ORDERS_KEY, true, load_orders },
};

bool fleet_load(fleet_t *fleet, const char *key, base_str_t value, int64_t rev,
		GError **err)
{
	bool good = false, known = false;
	json_t *root;

	if (known_rev(fleet, key) >= rev)
		return true;
	root = parse(value);

	for (size_t i = 0; i < ARRAY_SIZE(record_kinds); i++) {
		size_t len = strlen(record_kinds[i].prefix);

		if (strncmp(key, record_kinds[i].prefix, len) != 0 ||
		    (record_kinds[i].is_whole_key && key[len]))
			continue;
		known = true;
		good = json_is_object(root) &&
		       record_kinds[i].load(fleet, key + len, root, rev);
		break;
	}
	json_decref(root);
	if (good)
		set_rev(fleet, key, rev);
	if (!known)
		g_set_error(err, FLEET_ERROR, FLEET_ERROR_KEY,
			    "%s is not the key of a fleet record", key);
	else if (!good)
		g_set_error(err, FLEET_ERROR, FLEET_ERROR_RECORD,
			    "%s does not decode", key);
	return good;
}

char *fleet_shard_encode(const fleet_t *fleet, const void *ctx,
			 const fleet_shard_t *shard)
{
	json_t *all = json_object();

	for (guint i = 0; i < shard->insts->len; i++) {
		const fleet_inst_t *inst = g_ptr_array_index(shard->insts, i);
		const fleet_rec_t *rec =
			inst->staged ? &inst->staged_rec : &inst->rec;

		if (rec->state != FLEET_FREE)
			json_object_set_new(all, inst->id,
					    encode_rec(fleet, rec));
	}
	return dump(ctx, json_pack("{s:o}", "instances", all));
}

char *fleet_acct_encode(const fleet_t *fleet, const void *ctx,
			const fleet_acct_t *acct)
{
	json_t *all = json_array();

	for (size_t i = 0; i < acct->n_new_grants; i++) {
		const fleet_grant_t *grant = &acct->new_grants[i];
		json_t *obj = json_pack("{s:s,s:I,s:s}", "id", grant->id, "seq",
					(json_int_t)grant->seq, "for",
					fleet_purpose_name(grant->purpose));

		if (grant->purpose == FLEET_FOR_MOVE)
			json_object_set_new(
				obj, "to",
				json_string(fleet->pools[grant->to].name));
		json_array_append_new(all, obj);
	}
	return dump(ctx, json_pack("{s:I,s:o}", "fence",
				   (json_int_t)fleet->fence, "grants", all));
}

char *fleet_order_edit(const void *ctx, base_str_t old, const char *id,
		       fleet_purpose_t purpose, int64_t now)
{
	json_t *root = parse(old);

	if (!json_is_object(root)) {
		json_decref(root);
		return NULL;
	}
	if (purpose == FLEET_FOR_NONE)
		json_object_del(root, id);
	else
		json_object_set_new(root, id,
				    json_pack("{s:s,s:I}", "for",
					      fleet_purpose_name(purpose), "at",
					      (json_int_t)now));
	return dump(ctx, root);
}

static int64_t known_rev(const fleet_t *fleet, const char *key)
{
	const int64_t *rev = g_hash_table_lookup(fleet->revs, key);

	return rev ? *rev : -1;
}

static void set_rev(fleet_t *fleet, const char *key, int64_t rev)
{
	int64_t *known = g_hash_table_lookup(fleet->revs, key);

	if (!known) {
		known = talloc(fleet, int64_t);
		g_hash_table_insert(fleet->revs, talloc_strdup(known, key),
				    known);
	}
	*known = rev;
	fleet->version++;
}

/* Loads the shard only if all of its records decode. */
static bool load_shard(fleet_t *fleet, const char *name, json_t *root,
		       int64_t rev)
{
	json_t *all = json_object_get(root, "instances"), *obj;
	const char *slash = strrchr(name, '/');
	fleet_shard_t *shard;
	fleet_rec_t rec;
	const char *id;
	char *zone;
	guint64 number;

	if (!slash ||
	    !g_ascii_string_to_unsigned(slash + 1, 10, 0, FLEET_SHARDS - 1,
					&number, NULL))
		return false;
	json_object_foreach(
		all, id, obj) if (!decode_rec(fleet, obj, &rec)) return false;
	zone = talloc_strndup(NULL, name, (size_t)(slash - name));
	number += (guint64)fleet_zone_index(fleet, zone) * FLEET_SHARDS;
	shard = &fleet->shards[number];
	shard->rev = rev;
	for (guint i = 0; i < shard->insts->len; i++) {
		fleet_inst_t *inst = g_ptr_array_index(shard->insts, i);

		if (!json_object_get(all, inst->id))
			inst->rec = (fleet_rec_t){ .pool = FLEET_NO_POOL };
	}
	json_object_foreach(all, id, obj)
	{
		fleet_inst_t *inst = fleet_inst_find(fleet, id);

		if (!inst || inst->rec.state == FLEET_FREE)
			inst = place_recorded(fleet, inst, id, zone);
		if (inst->shard != number)
			continue; /* already recorded in another shard */
		if (!decode_rec(fleet, obj, &rec))
			continue;
		if (rec.seq != inst->rec.seq)
			inst->reboot_asked_at = 0;
		inst->rec = rec;
	}
	talloc_free(zone);
	return true;
}

/* Puts a new or free instance into the zone of its record. */
static fleet_inst_t *place_recorded(fleet_t *fleet, fleet_inst_t *inst,
				    const char *id, const char *zone)
{
	if (inst && !strcmp(fleet->zones[inst->zone], zone))
		return inst;
	return fleet_inst_add(fleet, id, zone, "");
}

static bool load_acct(fleet_t *fleet, const char *name, json_t *root,
		      int64_t rev)
{
	json_t *all = json_object_get(root, "grants"), *obj;
	int32_t at = fleet_pool_index(fleet, name, true);
	fleet_acct_t *acct;
	fleet_grant_t *grants;
	size_t i;

	grants = talloc_zero_array(fleet, fleet_grant_t,
				   json_array_size(all) + 1);
	json_array_foreach(all, i, obj)
	{
		if (decode_grant(fleet, grants, obj, &grants[i]))
			continue;
		talloc_free(grants);
		return false;
	}
	acct = &fleet->pools[at]; /* decoding may have reallocated "pools" */
	talloc_free(acct->grants);
	acct->grants = grants;
	acct->n_grants = json_array_size(all);
	acct->fence =
		(uint64_t)json_integer_value(json_object_get(root, "fence"));
	acct->rev = rev;
	return true;
}

static bool load_wave(fleet_t *fleet, const char *name, json_t *root,
		      int64_t rev)
{
	fleet_wave_t wave;
	char *text;
	bool good;

	(void)name;
	if (!json_object_size(root)) {
		fleet->wave = (fleet_wave_t){ .rev = rev };
		return true;
	}
	text = dump(NULL, json_incref(root));
	good = fleet_wave_decode(base_str(text), &wave);
	talloc_free(text);
	if (good) {
		fleet->wave = wave;
		fleet->wave.rev = rev;
	}
	return good;
}

static bool load_orders(fleet_t *fleet, const char *name, json_t *root,
			int64_t rev)
{
	const char *id;
	json_t *obj;

	(void)name;
	(void)rev;
	for (guint i = 0; i < fleet->insts->len; i++) {
		fleet_inst_t *inst = g_ptr_array_index(fleet->insts, i);

		inst->order = FLEET_FOR_NONE;
	}
	json_object_foreach(root, id, obj)
	{
		fleet_inst_t *inst = fleet_inst_find(fleet, id);
		fleet_purpose_t purpose = fleet_purpose_parse(
			json_string_value(json_object_get(obj, "for")));

		if (purpose != FLEET_FOR_HOLD && purpose != FLEET_FOR_URGENT)
			return false;
		if (!inst)
			inst = fleet_inst_add(fleet, id, "", "");
		inst->order = purpose;
		inst->order_at = json_integer_value(json_object_get(obj, "at"));
	}
	return true;
}

static bool decode_rec(fleet_t *fleet, json_t *obj, fleet_rec_t *rec)
{
	json_int_t inc, seq, since, maintained;
	const char *pool, *state, *purpose = "none";

	if (json_unpack(obj, "{s:I,s:I,s:s,s:s,s:I,s:I,s?s}", "inc", &inc,
			"seq", &seq, "pool", &pool, "state", &state, "since",
			&since, "maintained", &maintained, "for", &purpose))
		return false;
	*rec = (fleet_rec_t){
		.inc = (uint64_t)inc,
		.seq = (uint64_t)seq,
		.state = fleet_state_parse(state),
		.purpose = fleet_purpose_parse(purpose),
		.since = since,
		.maintained = maintained,
	};
	if (rec->state == FLEET_STATE_MAX || rec->state == FLEET_FREE ||
	    rec->purpose == FLEET_PURPOSE_MAX)
		return false;
	rec->pool = fleet_pool_index(fleet, pool, true);
	return decode_to(fleet, obj, rec->purpose, &rec->to);
}

static bool decode_grant(fleet_t *fleet, const void *ctx, json_t *obj,
			 fleet_grant_t *grant)
{
	const char *id, *purpose;
	json_int_t seq;

	if (json_unpack(obj, "{s:s,s:I,s:s}", "id", &id, "seq", &seq, "for",
			&purpose))
		return false;
	grant->id = talloc_strdup(ctx, id);
	grant->seq = (uint64_t)seq;
	grant->purpose = fleet_purpose_parse(purpose);
	if (grant->purpose == FLEET_PURPOSE_MAX)
		return false;
	return decode_to(fleet, obj, grant->purpose, &grant->to);
}

static bool decode_to(fleet_t *fleet, json_t *obj, fleet_purpose_t purpose,
		      int32_t *to)
{
	const char *name = json_string_value(json_object_get(obj, "to"));

	*to = name ? fleet_pool_index(fleet, name, true) : FLEET_NO_POOL;
	return name || purpose != FLEET_FOR_MOVE;
}

static json_t *encode_rec(const fleet_t *fleet, const fleet_rec_t *rec)
{
	json_t *obj = json_pack(
		"{s:I,s:I,s:s,s:s,s:I,s:I}", "inc", (json_int_t)rec->inc, "seq",
		(json_int_t)rec->seq, "pool", fleet->pools[rec->pool].name,
		"state", fleet_state_name(rec->state), "since",
		(json_int_t)rec->since, "maintained",
		(json_int_t)rec->maintained);

	if (rec->purpose != FLEET_FOR_NONE)
		json_object_set_new(
			obj, "for",
			json_string(fleet_purpose_name(rec->purpose)));
	if (rec->purpose == FLEET_FOR_MOVE)
		json_object_set_new(obj, "to",
				    json_string(fleet->pools[rec->to].name));
	return obj;
}

/* Takes the reference to "root". */
static char *dump(const void *ctx, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	char *copy = talloc_strdup(ctx, text);

	free(text);
	json_decref(root);
	return copy;
}

/* An empty value stands for an empty object. */
static json_t *parse(base_str_t value)
{
	if (!value.len)
		return json_object();
	return json_loadb(value.ptr, value.len, JSON_REJECT_DUPLICATES, NULL);
}
