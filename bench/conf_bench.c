/*
 * Configurations up to the target size: bytes, memory, and processor time to
 * check answers, generate, load, compare and match a request to its class.
 */
#include <string.h>
#include <time.h>

#include "conf.h"

#define ZONES 8
#define ROUNDS 20
#define MATCHES 1000000

static double cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static void add_pools(base_buf_t *buf, int pools)
{
	for (int p = 0; p < pools; p++)
		base_buf_addf(buf,
			      "%s{\"name\":\"pool-%d\",\"executors\":64,"
			      "\"worker\":{\"cores\":64,\"memory_gb\":256},"
			      "\"budget\":{\"min_up\":48}}",
			      p ? "," : "", p);
	base_buf_adds(buf, "],\"classes\":[");
	for (int p = 0; p < pools; p++)
		for (int c = 0; c < 4; c++)
			base_buf_addf(buf,
				      "%s{\"name\":\"class-%d\",\"pool\":"
				      "\"pool-%d\",\"method\":\"%s\",\"path\":"
				      "\"/%s\",\"urgency\":%d,\"repeatable\":"
				      "%s,\"deadline_ms\":2000}",
				      p || c ? "," : "", c, p,
				      c < 3 ? "POST" : "*",
				      c == 0   ? "book"
				      : c == 1 ? "cancel"
				      : c == 2 ? "query"
					       : "",
				      c, c ? "true" : "false");
}

static char *answers_text(const void *ctx, int pools, int teams)
{
	base_buf_t *buf = base_buf_new(ctx);

	base_buf_adds(buf, "{\"schema\":1,\"site\":\"s\",\"region\":\"r\","
			   "\"workers\":{\"per_rack\":4},\"weights\":{"
			   "\"buffer\":1,\"moves\":1,\"flood\":1},\"zones\":[");
	for (int z = 0; z < ZONES; z++)
		base_buf_addf(buf,
			      "%s{\"name\":\"zone-%d\",\"racks\":600,"
			      "\"workers\":2400}",
			      z ? "," : "", z);
	base_buf_adds(buf, "],\"pools\":[");
	add_pools(buf, pools);
	base_buf_adds(buf, "],\"callers\":[],\"teams\":[");
	for (int t = 0; t < teams; t++)
		base_buf_addf(buf,
			      "%s{\"name\":\"team-%d\",\"cores\":100,"
			      "\"memory_gb\":400}",
			      t ? "," : "", t);
	base_buf_adds(buf, "]}");
	return buf->ptr;
}

static double match_ns(const conf_t *conf, int pools)
{
	double spent = cpu_us();
	size_t found = 0;
	char name[32];

	g_snprintf(name, sizeof(name), "pool-%d", pools / 2);
	for (int i = 0; i < MATCHES; i++)
		found += conf_class_match(conf, base_str(name), BASE_STR("GET"),
					  BASE_STR("/loads/7")) != NULL;
	spent = cpu_us() - spent;
	return found == MATCHES ? spent * 1e3 / MATCHES : -1;
}

static void measure(int pools, int teams)
{
	void *ctx = talloc_new(NULL);
	conf_faults_t *faults = conf_faults_new(ctx);
	char *text = answers_text(ctx, pools, teams), *json = NULL;
	conf_answers_t *answers = NULL;
	double at[5] = { cpu_us() };
	GError *err = NULL;
	conf_t *conf = NULL;

	for (int i = 0; i < ROUNDS; i++)
		answers = conf_answers_load(ctx, base_str(text), faults);
	at[1] = cpu_us();
	for (int i = 0; answers && i < ROUNDS; i++)
		json = conf_generate(ctx, answers, &err);
	at[2] = cpu_us();
	for (int i = 0; json && i < ROUNDS; i++)
		conf = conf_load(ctx, base_str(json), &err);
	at[3] = cpu_us();
	for (int i = 0; conf && i < ROUNDS; i++)
		talloc_free(conf_diff(ctx, conf, conf));
	at[4] = cpu_us();
	if (conf)
		printf("{\"bench\":\"conf\",\"pools\":%d,\"teams\":%d,"
		       "\"bytes\":%zu,\"model_kb\":%.0f,\"check_ms\":%.2f,"
		       "\"generate_ms\":%.2f,\"load_ms\":%.2f,"
		       "\"diff_ms\":%.2f,\"match_ns\":%.0f}\n",
		       pools, teams, strlen(json),
		       (double)talloc_total_size(conf) / 1e3,
		       (at[1] - at[0]) / ROUNDS / 1e3,
		       (at[2] - at[1]) / ROUNDS / 1e3,
		       (at[3] - at[2]) / ROUNDS / 1e3,
		       (at[4] - at[3]) / ROUNDS / 1e3, match_ns(conf, pools));
	else
		printf("{\"bench\":\"conf\",\"failed\":\"%s\"}\n",
		       err ? err->message : "answers");
	talloc_free(ctx);
}

int main(void)
{
	measure(5, 3);
	measure(75, 200);
	measure(225, 610);
	return 0;
}
