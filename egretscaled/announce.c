#include "egretscaled/announce.h"

#include "common/address.h"

#include <jansson.h>
#include <string.h>

#define SLOTS_MAX 100000

static bool take_count(const json_t *json, const char *field, uint32_t absent,
		       uint32_t *out)
{
	const json_t *value = json_object_get(json, field);

	*out = absent;
	if (!value)
		return absent > 0;
	json_int_t number = json_integer_value(value);
	if (!json_is_integer(value) || number < 1 || number > SLOTS_MAX)
		return false;
	*out = (uint32_t)number;
	return true;
}

static bool decode(const json_t *json, own_target_t *out)
{
	const char *service = json_string_value(json_object_get(json, "service"));
	const char *address = json_string_value(json_object_get(json, "address"));
	struct sockaddr_in parsed;

	memset(out, 0, sizeof(*out));
	if (!service || !record_name_valid(service) || !address ||
	    !address_parse(address, &parsed, NULL))
		return false;
	g_strlcpy(out->service, service, sizeof(out->service));
	address_format(&parsed, out->address);
	return take_count(json, "slots", 0, &out->slots) &&
	       take_count(json, "connections", out->slots, &out->connections) &&
	       take_count(json, "cold_slots", 1, &out->cold_slots);
}

static void answer_done(http_request_t *request)
{
	static const char text[] = "{}\n";
	GBytes *body = g_bytes_new_static(text, strlen(text));
	GPtrArray *headers = headers_create();

	headers_add(headers, "Content-Type", "application/json");
	http_request_replay(request, 200, headers, body);
	g_bytes_unref(body);
}

static void refuse(http_request_t *request, Egret__Reason reason)
{
	http_request_refuse(request, EGRET__OUTCOME__OUTCOME_NOT_RUN, reason);
}

static void take_announcement(http_request_t *request)
{
	own_target_t target;
	json_t *json = json_loadb((const char *)request->head_body->data,
				  request->head_body->len, 0, NULL);
	bool ok = decode(json, &target);

	json_decref(json);
	if (!ok) {
		refuse(request, EGRET__REASON__REASON_BAD_REQUEST);
		return;
	}
	node_announce_target(request->worker->node, &target);
	answer_done(request);
}

void announce_begin(http_request_t *request)
{
	if (strcmp(request->path, "/v1/target") == 0 &&
	    strcmp(request->method, "PUT") == 0) {
		take_announcement(request);
	} else if (strcmp(request->path, "/v1/target/leave") == 0 &&
		   strcmp(request->method, "POST") == 0) {
		node_target_leaves(request->worker->node);
		answer_done(request);
	} else {
		refuse(request, EGRET__REASON__REASON_NO_ROUTE);
	}
}
