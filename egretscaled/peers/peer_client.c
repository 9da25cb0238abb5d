#include "egretscaled/peers/peer_client.h"

#include "claims/suspects.h"
#include "common/counters.h"
#include "common/error.h"
#include "common/log.h"
#include "egretscaled/peers/call_codec.h"
#include "egretscaled/peers/stream.h"
#include "membership/liveness.h"

#include <string.h>

/* Time from the loss of the link after which an attempt without a reply to its fence has
 * an unknown result. */
#define FENCE_TIMEOUT (1 * USEC_PER_SEC)
/* Delay from the loss of the link to the first fence. The fence is repeated every
 * 4 * FENCE_DELAY until FENCE_TIMEOUT. */
#define FENCE_DELAY (50 * USEC_PER_MSEC)

typedef struct peer_call {
	peer_client_t *client;
	call_t *call;
	uint64_t attempt;
	uint64_t node_id;
	uint64_t frame_offset; /* of the Call frame, from frame_link_send() */
	usec_t sent_at;
	stream_out_t request_out;
	stream_in_t reply_in;
	struct tevent_timer *fence_timer;
	usec_t fence_deadline;
} peer_call_t;

struct peer_client {
	worker_t *worker;
	char address[ADDRESS_TEXT_BYTES];
	frame_link_t *link;
	GHashTable *calls;  /* attempt -> peer_call_t on the current link */
	GHashTable *fences; /* attempt -> peer_call_t that waits for a fence reply */
	liveness_t liveness;
};

static const frame_link_ops_t link_ops;

static void peer_call_free(peer_call_t *pc)
{
	TALLOC_FREE(pc->fence_timer);
	g_free(pc);
}

/* Detaches the client from a call, which then has no sink, and frees the peer call. */
static void detach_call(peer_call_t *pc)
{
	call_detach(pc->call);
	body_on_readable(pc->call->request_body, NULL, NULL);
	body_on_writable(pc->call->reply_body, NULL, NULL);
	peer_call_free(pc);
}

static void send_cancel(peer_call_t *pc)
{
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__Cancel cancel = EGRET__CANCEL__INIT;

	cancel.attempt = pc->attempt;
	frame.kind_case = EGRET__FRAME__KIND_CANCEL;
	frame.cancel = &cancel;
	if (pc->client->link)
		frame_link_send(pc->client->link, &frame);
}

/* The source cancelled the call. */
static void handle_detach(call_t *call, void *sink)
{
	(void)call;
	peer_call_t *pc = sink;

	if (g_hash_table_remove(pc->client->calls, &pc->attempt))
		send_cancel(pc);
	else
		g_hash_table_remove(pc->client->fences, &pc->attempt);
	peer_call_free(pc);
}

/* Returns the link to the peer and starts to connect if there is none; NULL if that
 * fails. */
static frame_link_t *ensure_link(peer_client_t *client)
{
	struct sockaddr_in address;
	GError *error = NULL;

	if (client->link)
		return client->link;
	if (!address_parse(client->address, &address, NULL))
		return NULL;
	liveness_connect_started(&client->liveness, clock_boot_usec());
	client->link =
		frame_link_connect(NULL, client->worker->ev, client->worker->node->auth,
				   &address, &link_ops, client, &error);
	if (!client->link) {
		log_failure("connect to a peer", error);
		g_clear_error(&error);
	}
	return client->link;
}

static void send_fence(peer_call_t *pc)
{
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__Fence fence = EGRET__FENCE__INIT;
	frame_link_t *link = ensure_link(pc->client);

	fence.attempt = pc->attempt;
	fence.node_id = pc->node_id;
	fence.age_ms = (uint32_t)((clock_boot_usec() - pc->sent_at) / USEC_PER_MSEC);
	frame.kind_case = EGRET__FRAME__KIND_FENCE;
	frame.fence = &fence;
	if (link)
		frame_link_send(link, &frame);
}

static void finish_fence(peer_call_t *pc, bool never_started)
{
	call_t *call = pc->call;

	if (never_started)
		counter_add(COUNTER_FENCES_NOT_RUN, 1);
	g_hash_table_remove(pc->client->fences, &pc->attempt);
	detach_call(pc);
	call_refuse(call,
		    never_started ? EGRET__OUTCOME__OUTCOME_NOT_RUN
				  : EGRET__OUTCOME__OUTCOME_UNKNOWN,
		    EGRET__REASON__REASON_PEER_LOST);
}

static void handle_fence_timer(struct tevent_context *ev, struct tevent_timer *te,
			       struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	peer_call_t *pc = private_data;
	usec_t now = clock_boot_usec();

	pc->fence_timer = NULL;
	if (now >= pc->fence_deadline) {
		finish_fence(pc, false);
		return;
	}
	send_fence(pc);
	pc->fence_timer = worker_timer(pc->client->worker,
				       MIN(FENCE_DELAY * 4, pc->fence_deadline - now),
				       handle_fence_timer, pc);
}

static void start_fence(peer_call_t *pc, usec_t now)
{
	counter_add(COUNTER_FENCES_SENT, 1);
	pc->fence_deadline = now + FENCE_TIMEOUT;
	g_hash_table_insert(pc->client->fences, &pc->attempt, pc);
	pc->fence_timer =
		worker_timer(pc->client->worker, FENCE_DELAY, handle_fence_timer, pc);
}

/* Ends or fences one call of a lost link. frame_sent: a part of its Call frame was sent,
 * so that the peer may have run it. */
static void handle_lost_call(peer_call_t *pc, bool frame_sent, usec_t now)
{
	call_t *call = pc->call;

	if (call->replied) {
		detach_call(pc);
		body_abort(call->reply_body);
	} else if (!frame_sent) {
		detach_call(pc);
		call_refuse(call, EGRET__OUTCOME__OUTCOME_NOT_RUN,
			    EGRET__REASON__REASON_PEER_LOST);
	} else {
		body_on_readable(call->request_body, NULL, NULL);
		start_fence(pc, now);
	}
}

static void handle_closed(void *ctx, const GError *error)
{
	peer_client_t *client = ctx;
	uint64_t sent_bytes = frame_link_sent_bytes(client->link);
	usec_t now = clock_boot_usec();
	GList *lost_calls = g_hash_table_get_values(client->calls);

	if (lost_calls)
		log_failure("keep a link to a peer with calls in flight", error);
	g_hash_table_remove_all(client->calls);
	frame_link_destroy(client->link);
	client->link = NULL;
	for (GList *item = lost_calls; item; item = item->next) {
		peer_call_t *pc = item->data;
		handle_lost_call(pc, sent_bytes > pc->frame_offset, now);
	}
	g_list_free(lost_calls);
}

/* The target of another node has answered the request with a complete response: it
 * crashes no targets. The head or a part of the body does not show that, as the target
 * may crash within the response. */
static void clear_suspicion(const peer_call_t *pc, const call_reply_t *reply)
{
	node_t *node = pc->client->worker->node;

	if (reply->outcome != EGRET__OUTCOME__OUTCOME_ANSWERED ||
	    reply->ends_with_connection)
		return;
	pthread_mutex_lock(&node->suspect_lock);
	suspects_handle_remote_success(node->suspects, pc->call->context.fingerprint,
				       clock_boot_usec());
	pthread_mutex_unlock(&node->suspect_lock);
}

static void handle_reply(peer_client_t *client, const Egret__Reply *wire)
{
	peer_call_t *pc = g_hash_table_lookup(client->calls, &wire->attempt);
	call_reply_t reply;

	if (!pc || pc->call->replied) {
		counter_add(COUNTER_LATE_REPLIES, 1);
		return;
	}
	call_t *call = pc->call;
	call_reply_decode(wire, &reply);
	stream_in_receive(&pc->reply_in, wire->body.data, wire->body.len, wire->end,
			  false);
	if (wire->end) {
		clear_suspicion(pc, &reply);
		g_hash_table_remove(client->calls, &pc->attempt);
		detach_call(pc);
	}
	call_reply(call, &reply);
}

static void handle_data(peer_client_t *client, const Egret__Data *data)
{
	peer_call_t *pc = g_hash_table_lookup(client->calls, &data->attempt);

	if (!pc || data->request) {
		counter_add(COUNTER_LATE_REPLIES, 1);
		return;
	}
	call_t *call = pc->call;
	bool within_credit = stream_in_receive(&pc->reply_in, data->body.data,
					       data->body.len, data->end, data->aborted);
	if (within_credit && !data->end && !data->aborted)
		return;
	g_hash_table_remove(client->calls, &pc->attempt);
	if (!within_credit)
		send_cancel(pc);
	else if (call->replied && data->end && !data->aborted)
		clear_suspicion(pc, &call->reply);
	detach_call(pc);
	if (!within_credit)
		body_abort(call->reply_body);
}

static void handle_credit(peer_client_t *client, const Egret__Credit *credit)
{
	peer_call_t *pc = g_hash_table_lookup(client->calls, &credit->attempt);

	if (pc && credit->request)
		stream_out_add_credit(&pc->request_out, credit->bytes);
}

static void log_peer(const peer_client_t *client, const char *change)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "peer");
	log_str(&rec, "address", client->address);
	log_str(&rec, "change", change);
	log_int(&rec, "calls", g_hash_table_size(client->calls));
	log_end(&rec);
}

/* Returns whether the router still has an instance with the peer's address. */
static bool set_router_silent(const peer_client_t *client, bool silent)
{
	node_t *node = client->worker->node;

	pthread_mutex_lock(&node->router_lock);
	bool found = router_set_silent(node->router, client->address, silent);
	pthread_mutex_unlock(&node->router_lock);
	return found;
}

static void record_activity(peer_client_t *client)
{
	if (!liveness_received(&client->liveness, clock_boot_usec()))
		return;
	set_router_silent(client, false);
	log_peer(client, "responding");
}

static void send_ping(peer_client_t *client)
{
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__Ping ping = EGRET__PING__INIT;
	frame_link_t *link = ensure_link(client);

	frame.kind_case = EGRET__FRAME__KIND_PING;
	frame.ping = &ping;
	if (link)
		frame_link_send(link, &frame);
}

/* Ends the idempotent calls with an unknown result, so that they are retried elsewhere.
 * Other calls must not be repeated, because a silent peer may have run them. */
static void end_idempotent_calls(peer_client_t *client)
{
	GList *calls = g_hash_table_get_values(client->calls);

	for (GList *item = calls; item; item = item->next) {
		peer_call_t *pc = item->data;
		call_t *call = pc->call;

		if (!call->context.idempotent || call->replied)
			continue;
		send_cancel(pc);
		g_hash_table_remove(client->calls, &pc->attempt);
		detach_call(pc);
		call_refuse(call, EGRET__OUTCOME__OUTCOME_UNKNOWN,
			    EGRET__REASON__REASON_PEER_LOST);
	}
	g_list_free(calls);
}

/* Closes the link. Calls of which no byte was sent end as not-run and can be made
 * elsewhere. */
static void close_link(peer_client_t *client, usec_t now)
{
	GError *error = g_error_new(
		EGRET_ERROR, EGRET_ERROR_TIMEOUT, "no frame from %s for %d ms",
		client->address,
		(int)((now - client->liveness.last_received) / USEC_PER_MSEC));

	handle_closed(client, error);
	g_error_free(error);
}

static liveness_link_t link_state(const peer_client_t *client)
{
	if (!client->link)
		return LIVENESS_NO_LINK;
	return frame_link_is_open(client->link) ? LIVENESS_OPEN : LIVENESS_CONNECTING;
}

/* Runs the liveness check of one peer and applies its decisions. */
static void check_peer(peer_client_t *client, usec_t now)
{
	bool was_silent = client->liveness.silent;
	liveness_actions_t actions =
		liveness_check(&client->liveness, now,
			       g_hash_table_size(client->calls) > 0, link_state(client));

	if (actions.ping)
		send_ping(client);
	if (!actions.silent)
		return;
	/* A peer without an instance in the router needs no more pings. */
	if (!set_router_silent(client, true))
		client->liveness.silent = false;
	else if (!was_silent)
		log_peer(client, "silent");
	if (actions.fail_idempotent)
		end_idempotent_calls(client);
	if (actions.close_link && client->link)
		close_link(client, now);
}

static void handle_frame(void *ctx, const Egret__Frame *frame)
{
	peer_client_t *client = ctx;
	peer_call_t *pc;

	record_activity(client);
	switch (frame->kind_case) {
	case EGRET__FRAME__KIND_REPLY:
		handle_reply(client, frame->reply);
		break;
	case EGRET__FRAME__KIND_DATA:
		handle_data(client, frame->data);
		break;
	case EGRET__FRAME__KIND_CREDIT:
		handle_credit(client, frame->credit);
		break;
	case EGRET__FRAME__KIND_FENCE_REPLY:
		pc = g_hash_table_lookup(client->fences, &frame->fence_reply->attempt);
		if (pc)
			finish_fence(pc, frame->fence_reply->never_started);
		break;
	default:
		client->worker->ops->on_frame(client->worker, client->link, frame);
		break;
	}
}

static const frame_link_ops_t link_ops = {
	.on_frame = handle_frame,
	.on_closed = handle_closed,
};

void peer_client_destroy(void *data)
{
	peer_client_t *client = data;

	frame_link_destroy(client->link);
	g_hash_table_destroy(client->calls);
	g_hash_table_destroy(client->fences);
	g_free(client);
}

peer_client_t *peer_client_get(worker_t *worker, const char *address)
{
	peer_client_t *client = g_hash_table_lookup(worker->peers, address);

	if (client)
		return client;
	client = g_new0(peer_client_t, 1);
	client->worker = worker;
	g_strlcpy(client->address, address, sizeof(client->address));
	client->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	client->fences = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_insert(worker->peers, client->address, client);
	return client;
}

void peer_client_call(peer_client_t *client, call_t *call, uint64_t node_id)
{
	frame_link_t *link = ensure_link(client);
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__Call wire;
	Egret__Context context;
	uint8_t first[STREAM_CHUNK_BYTES];
	usec_t now = clock_boot_usec();

	if (!link) {
		call_refuse(call, EGRET__OUTCOME__OUTCOME_NOT_RUN,
			    EGRET__REASON__REASON_PEER_LOST);
		return;
	}
	peer_call_t *pc = g_new0(peer_call_t, 1);
	pc->client = client;
	pc->call = call;
	pc->attempt = call->attempt;
	pc->node_id = node_id;
	pc->sent_at = now;
	call_attach(call, pc, handle_detach);
	g_hash_table_insert(client->calls, &pc->attempt, pc);
	stream_out_start(&pc->request_out, link, call->attempt, true, call->request_body);
	stream_in_start(&pc->reply_in, link, call->attempt, false, call->reply_body);
	call_encode(call, now, &wire, &context);
	bool end;
	wire.body.len =
		stream_out_read_first(&pc->request_out, first, sizeof(first), &end);
	wire.body.data = first;
	wire.end = end;
	frame.kind_case = EGRET__FRAME__KIND_CALL;
	frame.call = &wire;
	liveness_call_sent(&client->liveness, now, g_hash_table_size(client->calls) == 1);
	pc->frame_offset = frame_link_send(link, &frame);
	call_encode_clear(&wire);
	counter_add(COUNTER_CALLS_OUT, 1);
	stream_out_pump(&pc->request_out);
}

void peer_client_send(peer_client_t *client, const Egret__Frame *frame)
{
	frame_link_t *link = ensure_link(client);

	if (link)
		frame_link_send(link, frame);
}

void peer_clients_check(worker_t *worker, usec_t now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, worker->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		check_peer(value, now);
}

static gboolean is_idle(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	const peer_client_t *client = value;
	usec_t now = *(const usec_t *)data;

	if (g_hash_table_size(client->calls) > 0 ||
	    g_hash_table_size(client->fences) > 0 || client->liveness.silent)
		return FALSE;
	return !client->link ||
	       now - frame_link_last_used(client->link) > PEER_IDLE_TIMEOUT;
}

void peer_clients_sweep(worker_t *worker, usec_t now)
{
	g_hash_table_foreach_remove(worker->peers, is_idle, &now);
}
