/*
 * A client of the review's scripts: one request on loopback.
 *
 *	rv-client PORT METHOD PATH [BODY]
 *
 * Prints the response's body, if there is one, and its status on the last line;
 * 000 if there is no whole response within 4 s.
 */
#include <stdio.h>
#include <string.h>

#include "net.h"

#define TIMEOUT (4 * BASE_SEC)

static void answered(void *arg, const net_answer_t *answer)
{
	if (answer->body.len)
		printf("%.*s\n", (int)answer->body.len, answer->body.ptr);
	printf("%03d\n", answer->status);
	net_loop_stop(arg);
}

int main(int argc, char **argv)
{
	const net_header_t headers[] = { { "Host", "desk.example" },
					 { "X-Deadline-Ms", "3000" } };
	net_loop_t *loop = net_loop_new(NULL);
	net_request_t request = { .headers = headers,
				  .n_headers = ARRAY_SIZE(headers),
				  .timeout = TIMEOUT };
	net_client_options_t options = { .loop = loop, .connections = 1 };
	net_client_t *client;
	char address[32];

	if (argc < 4)
		return 2;
	g_snprintf(address, sizeof(address), "127.0.0.1:%s", argv[1]);
	options.address = address;
	request.method = !strcmp(argv[2], "POST")     ? NET_POST
			 : !strcmp(argv[2], "DELETE") ? NET_DELETE
						      : NET_GET;
	request.path = argv[3];
	request.body = base_str(argc > 4 ? argv[4] : "");
	client = net_client_new(loop, &options);
	if (!client)
		return 2;
	net_call(client, &request, answered, loop);
	net_loop_run(loop);
	return 0;
}
