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

/* A leave report may hold only the target's id; the other fields are then those of its
 * last report. Returns false if it names another target; the report then has no
 * effect. */
static bool fill_in_leave(node_t *node, target_report_t *report)
{
	target_report_t last;

	node_make_leave_report(node, &last);
	if (*report->id && strcmp(report->id, last.id) != 0)
		return false;
	*report = last;
	return true;
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

void target_reports_handle(http_request_t *request)
{
	node_t *node = request->worker->node;
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
	if ((report.leaving && !*report.address && !fill_in_leave(node, &report))) {
		respond_ok(request);
		return;
	}
	node_handle_target_report(node, &report);
	respond_ok(request);
}
