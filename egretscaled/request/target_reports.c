#include "egretscaled/request/target_reports.h"

#include "common/error.h"
#include "common/log.h"

#include <string.h>

static void respond_ok(http_request_t *request)
{
	static const char text[] = "{}\n";
	GBytes *body = g_bytes_new_static(text, strlen(text));
	GPtrArray *headers = headers_create();

	headers_add(headers, "Content-Type", "application/json");
	http_request_respond(request, 200, headers, body);
	g_bytes_unref(body);
}

/* On the platform the settings name this node's target; reports of others are refused. */
static bool is_own_target(const node_t *node, const target_report_t *report)
{
	const settings_t *settings = node->settings;
	char address[ADDRESS_TEXT_BYTES];

	if (!settings->on_platform)
		return true;
	address_format(&settings->target_address, address);
	return strcmp(report->address, address) == 0 &&
	       strcmp(report->service, settings->service) == 0;
}

static bool read_report(http_request_t *request, target_report_t *out, GError **error)
{
	node_t *node = request->worker->node;

	if (!node->settings->dialect->read_target_report(
		    request->method, request->path, request->buffered_body->data,
		    request->buffered_body->len, out, error))
		return false;
	if (out->leaving && !*out->address)
		return true;
	if (is_own_target(node, out))
		return true;
	g_set_error(error, EGRET_ERROR, EGRET_ERROR_JSON,
		    "target report names %s at %s, which is not this node's target",
		    out->service, out->address);
	return false;
}

static void apply_report(http_request_t *request, const target_report_t *report)
{
	node_handle_target_report(request->worker->node, report);
	respond_ok(request);
}

/* A leave report that holds at most the target's id. */
static void handle_leave(http_request_t *request, target_report_t *report)
{
	char id[MEMBER_TEXT_BYTES];
	log_rec_t rec;

	g_strlcpy(id, report->id, sizeof(id));
	target_leave_t leave = node_resolve_leave(request->worker->node, report);
	if (leave == TARGET_LEAVE_OWN) {
		apply_report(request, report);
		return;
	}
	log_begin(&rec, LOG_LEVEL_INFO, "target");
	log_str(&rec, "change",
		leave == TARGET_LEAVE_OTHER ? "leave of another process"
					    : "leave refused: id used by two processes");
	log_str(&rec, "id", id);
	log_end(&rec);
	if (leave == TARGET_LEAVE_OTHER)
		respond_ok(request);
	else
		http_request_refuse(request, EGRET__OUTCOME__OUTCOME_NOT_RUN,
				    EGRET__REASON__REASON_NOT_READY);
}

void target_reports_handle(http_request_t *request)
{
	target_report_t report;
	GError *error = NULL;

	if (!read_report(request, &report, &error)) {
		log_failure("apply a report of this node's target", error);
		http_request_refuse(request, EGRET__OUTCOME__OUTCOME_NOT_RUN,
				    error->code == EGRET_ERROR_NOT_FOUND
					    ? EGRET__REASON__REASON_NO_ROUTE
					    : EGRET__REASON__REASON_BAD_REQUEST);
		g_clear_error(&error);
		return;
	}
	if (report.leaving && !*report.address)
		handle_leave(request, &report);
	else
		apply_report(request, &report);
}
