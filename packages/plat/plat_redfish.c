#include <stdio.h>

#include "plat_int.h"

/*
 * Client of Redfish, DSP0266: ComputerSystem.Reset.  The incarnation is sent as
 * If-Match, so that a late request does not reboot a newer incarnation.
 */

typedef struct plat_redfish {
	plat_action_t action;
	plat_address_t address;
} plat_redfish_t;

static bool redfish_reboot(plat_action_t *action, const char *id,
			   uint64_t incarnation, GError **err);

static const plat_action_ops_t redfish_ops = { .reboot = redfish_reboot };

plat_action_t *plat_redfish_new(const void *ctx, const plat_address_t *address)
{
	plat_redfish_t *redfish = talloc_zero(ctx, plat_redfish_t);

	redfish->action.ops = &redfish_ops;
	redfish->address.host = talloc_strdup(redfish, address->host);
	redfish->address.port = address->port;
	return &redfish->action;
}

static bool redfish_reboot(plat_action_t *action, const char *id,
			   uint64_t incarnation, GError **err)
{
	static const char body[] = "{\"ResetType\":\"GracefulRestart\"}";
	plat_redfish_t *redfish = (plat_redfish_t *)action;
	struct mg_connection *conn;
	char error_text[160] = "no answer";
	int status = 0;

	conn = mg_connect_client(redfish->address.host, redfish->address.port,
				 0, error_text, sizeof(error_text));
	if (conn) {
		mg_printf(conn,
			  "POST /redfish/v1/Systems/%s/Actions/"
			  "ComputerSystem.Reset HTTP/1.1\r\nHost: %s\r\n"
			  "If-Match: \"%llu\"\r\n"
			  "Content-Type: application/json\r\n"
			  "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
			  id, redfish->address.host,
			  (unsigned long long)incarnation, sizeof(body) - 1,
			  body);
		if (mg_get_response(conn, error_text, sizeof(error_text),
				    PLAT_TIMEOUT_MS) >= 0)
			status = mg_get_response_info(conn)->status_code;
		mg_close_connection(conn);
	}
	if (status >= 200 && status < 300)
		return true;
	g_set_error(err, PLAT_ERROR,
		    status ? PLAT_ERROR_REJECTED : PLAT_ERROR_UNKNOWN,
		    "reboot of %s: status %d, %s", id, status, error_text);
	return false;
}
