#include "egretscaled/request/target_loss.h"

#include "claims/crash_watch.h"
#include "common/log.h"
#include "egretscaled/node/crash.h"

#define PROBE_TIMEOUT_MS 1000L
/* A process that ends may close its listener after its connections. */
#define PROBE_DELAY (20 * USEC_PER_MSEC)
#define PROBES 2

struct target_loss {
	worker_t *worker;
	CURL *probe; /* connects to the target, or NULL */
	char *url;   /* of the probe */
	int probes_left;
	struct tevent_timer *probe_timer; /* or NULL */
	struct tevent_timer *judge_timer; /* or NULL */
};

target_loss_t *target_loss_create(worker_t *worker)
{
	target_loss_t *loss = g_new0(target_loss_t, 1);

	loss->worker = worker;
	return loss;
}

static void stop_probe(target_loss_t *loss)
{
	if (loss->probe)
		curl_loop_stop(loss->worker->curl, loss->probe);
	loss->probe = NULL;
	g_clear_pointer(&loss->url, g_free);
}

void target_loss_destroy(target_loss_t *loss)
{
	if (!loss)
		return;
	stop_probe(loss);
	TALLOC_FREE(loss->probe_timer);
	TALLOC_FREE(loss->judge_timer);
	g_free(loss);
}

static void log_loss(const request_context_t *context, CURL *easy, CURLcode code)
{
	long connects = 0;
	log_rec_t rec;

	curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
	log_begin(&rec, LOG_LEVEL_INFO, "target-loss");
	log_str(&rec, "request", context->request_id);
	log_hex(&rec, "fingerprint", (const uint8_t *)&context->fingerprint,
		sizeof(context->fingerprint));
	log_str(&rec, "result", curl_easy_strerror(code));
	log_int(&rec, "connects", connects);
	log_int(&rec, "refused", curl_loop_refused(easy, code));
	log_end(&rec);
}

static void handle_judge_timer(struct tevent_context *ev, struct tevent_timer *te,
			       struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	target_loss_t *loss = private_data;

	loss->judge_timer = NULL;
	node_crash_judge(loss->worker->node);
}

static void handle_crash(target_loss_t *loss)
{
	node_t *node = loss->worker->node;

	if (node->settings->on_platform)
		node_handle_target_refusal(node);
	node_crash_prove(node);
	if (!loss->judge_timer)
		loss->judge_timer = worker_timer(loss->worker, CRASH_SETTLE_TIME,
						 handle_judge_timer, loss);
}

static void start_probe(target_loss_t *loss);

static void handle_probe_timer(struct tevent_context *ev, struct tevent_timer *te,
			       struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	target_loss_t *loss = private_data;

	loss->probe_timer = NULL;
	start_probe(loss);
}

static void schedule_probe(target_loss_t *loss)
{
	if (!loss->probe && !loss->probe_timer)
		loss->probe_timer =
			worker_timer(loss->worker, PROBE_DELAY, handle_probe_timer, loss);
}

static void handle_probe_done(void *ctx, CURL *easy, CURLcode code)
{
	target_loss_t *loss = ctx;

	loss->probe = NULL;
	g_clear_pointer(&loss->url, g_free);
	if (curl_loop_refused(easy, code))
		handle_crash(loss);
	else if (loss->probes_left > 0)
		schedule_probe(loss);
}

static void start_probe(target_loss_t *loss)
{
	node_t *node = loss->worker->node;
	char address[ADDRESS_TEXT_BYTES];

	if (loss->probe)
		return;
	loss->probes_left--;
	pthread_mutex_lock(&node->gate_lock);
	g_strlcpy(address, node->target.last_report.address, sizeof(address));
	pthread_mutex_unlock(&node->gate_lock);
	loss->url = g_strconcat("http://", address, "/", NULL);
	loss->probe = curl_loop_acquire(loss->worker->curl);
	curl_easy_setopt(loss->probe, CURLOPT_URL, loss->url);
	curl_easy_setopt(loss->probe, CURLOPT_CONNECT_ONLY, 1L);
	curl_easy_setopt(loss->probe, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(loss->probe, CURLOPT_CONNECTTIMEOUT_MS, PROBE_TIMEOUT_MS);
	if (!curl_loop_start(loss->worker->curl, loss->probe, handle_probe_done, loss))
		stop_probe(loss);
}

/* Whether the next report shows if the target crashed: it has an id, and the target is
 * not leaving. */
static bool reports_show_crash(node_t *node)
{
	pthread_mutex_lock(&node->gate_lock);
	bool shows = !node->target.draining && *node->target.last_report.id;
	pthread_mutex_unlock(&node->gate_lock);
	return shows;
}

bool target_loss_handle_end(node_t *node, const request_context_t *context,
			    usec_t started_at)
{
	if (!reports_show_crash(node))
		return false;
	node_crash_note_ended(node, context->fingerprint, started_at);
	return true;
}

void target_loss_handle_drop(node_t *node, const request_context_t *context,
			     usec_t started_at)
{
	if (reports_show_crash(node))
		node_crash_note(node, context->fingerprint, started_at);
}

void target_loss_handle(target_loss_t *loss, const request_context_t *context,
			usec_t started_at, CURL *easy, CURLcode code)
{
	node_t *node = loss->worker->node;

	if (!curl_loop_connection_lost(easy, code))
		return;
	log_loss(context, easy, code);
	pthread_mutex_lock(&node->gate_lock);
	bool leaving = node->target.draining;
	bool has_id = *node->target.last_report.id;
	pthread_mutex_unlock(&node->gate_lock);
	if (leaving)
		return;
	node_crash_note(node, context->fingerprint, started_at);
	if (curl_loop_refused(easy, code) || (!has_id && code == CURLE_GOT_NOTHING)) {
		handle_crash(loss);
		return;
	}
	loss->probes_left = PROBES;
	if (curl_loop_reconnected(easy))
		schedule_probe(loss);
	else
		start_probe(loss);
}
