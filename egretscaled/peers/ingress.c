#include "egretscaled/peers/ingress.h"

#include "common/counters.h"
#include "common/error.h"
#include "common/log.h"
#include "egretscaled/peers/call_codec.h"
#include "egretscaled/peers/pull.h"
#include "egretscaled/peers/stream.h"
#include "wire/frame_link.h"

#include <sys/socket.h>

typedef struct ingress_link {
	worker_t *worker;
	frame_link_t *link;
	GHashTable *calls; /* attempt -> ingress_call_t */
	bool closed;
	bool pending; /* is in worker->pending_peers */
	place_t place;
} ingress_link_t;

typedef struct ingress_call {
	ingress_link_t *owner; /* NULL once the call has ended */
	worker_t *worker;
	call_t *call;
	uint64_t attempt;
	stream_in_t request_in;
	stream_out_t reply_out;
	bool reply_scheduled;
	bool reply_sent;
	bool ended; /* freed after the current event */
} ingress_call_t;

static void free_ingress_call(worker_t *worker, void *ctx)
{
	ingress_call_t *ic = ctx;

	atomic_fetch_sub(&worker->node->requests, 1);
	call_destroy(ic->call);
	g_free(ic);
}

/* Ends a call. It is freed after the current event, when no callback of it is on the
 * stack. */
static void end_call(ingress_call_t *ic)
{
	if (ic->ended)
		return;
	ic->ended = true;
	if (ic->owner)
		g_hash_table_remove(ic->owner->calls, &ic->attempt);
	ic->owner = NULL;
	worker_defer(ic->worker, free_ingress_call, ic);
}

static void handle_reply_readable(void *ctx)
{
	ingress_call_t *ic = ctx;

	if (ic->ended || !ic->reply_sent)
		return;
	stream_out_pump(&ic->reply_out);
	if (ic->reply_out.finished)
		end_call(ic);
}

static void send_reply(worker_t *worker, void *ctx)
{
	(void)worker;
	ingress_call_t *ic = ctx;
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__Reply wire;
	Egret__Load load;
	uint8_t first[STREAM_CHUNK_BYTES];
	bool end;

	if (ic->ended)
		return;
	call_reply_encode(&ic->call->reply, &wire, &load);
	wire.attempt = ic->attempt;
	stream_out_start(&ic->reply_out, ic->owner->link, ic->attempt, false,
			 ic->call->reply_body);
	body_on_readable(ic->call->reply_body, handle_reply_readable, ic);
	wire.body.len = stream_out_read_first(&ic->reply_out, first, sizeof(first), &end);
	wire.body.data = first;
	wire.end = end;
	frame.kind_case = EGRET__FRAME__KIND_REPLY;
	frame.reply = &wire;
	frame_link_send(ic->owner->link, &frame);
	call_reply_encode_clear(&wire);
	ic->reply_sent = true;
	handle_reply_readable(ic);
}

/* Sends the reply after the current event, so that a short body fits into the Reply
 * frame. */
static void handle_reply(call_t *call, void *ctx)
{
	(void)call;
	ingress_call_t *ic = ctx;

	if (ic->ended || ic->reply_scheduled)
		return;
	ic->reply_scheduled = true;
	worker_defer(ic->worker, send_reply, ic);
}

static void send_refusal(ingress_link_t *il, uint64_t attempt, Egret__Outcome outcome,
			 Egret__Reason reason)
{
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__Reply wire = EGRET__REPLY__INIT;

	wire.attempt = attempt;
	wire.outcome = outcome;
	wire.reason = reason;
	wire.end = true;
	frame.kind_case = EGRET__FRAME__KIND_REPLY;
	frame.reply = &wire;
	frame_link_send(il->link, &frame);
}

static void handle_call(ingress_link_t *il, const Egret__Call *wire)
{
	call_t *call = call_decode(wire, clock_boot_usec());

	if (!call || g_hash_table_contains(il->calls, &wire->attempt)) {
		call_destroy(call);
		counter_add(COUNTER_PEER_BAD_FRAMES, 1);
		send_refusal(il, wire->attempt, EGRET__OUTCOME__OUTCOME_NOT_RUN,
			     EGRET__REASON__REASON_BAD_REQUEST);
		return;
	}
	/* Counted first, so that a stop does not end between the two. */
	atomic_fetch_add(&il->worker->node->requests, 1);
	if (!node_accepts(il->worker->node, call->context.deadline, false)) {
		atomic_fetch_sub(&il->worker->node->requests, 1);
		call_destroy(call);
		send_refusal(il, wire->attempt, EGRET__OUTCOME__OUTCOME_NOT_RUN,
			     EGRET__REASON__REASON_DRAINING);
		return;
	}
	counter_add(COUNTER_CALLS_IN, 1);
	ingress_call_t *ic = g_new0(ingress_call_t, 1);
	ic->owner = il;
	ic->worker = il->worker;
	ic->call = call;
	ic->attempt = wire->attempt;
	call->on_reply = handle_reply;
	call->on_reply_ctx = ic;
	g_hash_table_insert(il->calls, &ic->attempt, ic);
	stream_in_start(&ic->request_in, il->link, ic->attempt, true, call->request_body);
	stream_in_receive(&ic->request_in, wire->body.data, wire->body.len, wire->end,
			  false);
	il->worker->ops->serve(il->worker, call);
}

static void handle_data(ingress_link_t *il, const Egret__Data *data)
{
	ingress_call_t *ic = g_hash_table_lookup(il->calls, &data->attempt);

	if (!ic || !data->request)
		return;
	if (!stream_in_receive(&ic->request_in, data->body.data, data->body.len,
			       data->end, data->aborted))
		body_abort(ic->call->request_body);
}

static void handle_fence(ingress_link_t *il, const Egret__Fence *fence)
{
	node_t *node = il->worker->node;
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__FenceReply reply = EGRET__FENCE_REPLY__INIT;
	usec_t age = (usec_t)fence->age_ms * USEC_PER_MSEC;

	reply.attempt = fence->attempt;
	if (fence->node_id == node->node_id) {
		pthread_mutex_lock(&node->inflight_lock);
		reply.never_started = attempts_fence(node->attempts, fence->attempt, age,
						     clock_boot_usec());
		pthread_mutex_unlock(&node->inflight_lock);
	}
	frame.kind_case = EGRET__FRAME__KIND_FENCE_REPLY;
	frame.fence_reply = &reply;
	frame_link_send(il->link, &frame);
}

static void send_pong(ingress_link_t *il)
{
	Egret__Frame frame = EGRET__FRAME__INIT;
	Egret__Ping pong = EGRET__PING__INIT;

	pong.pong = true;
	frame.kind_case = EGRET__FRAME__KIND_PING;
	frame.ping = &pong;
	frame_link_send(il->link, &frame);
}

static void handle_frame(void *ctx, const Egret__Frame *frame)
{
	ingress_link_t *il = ctx;
	ingress_call_t *ic;

	switch (frame->kind_case) {
	case EGRET__FRAME__KIND_CALL:
		handle_call(il, frame->call);
		break;
	case EGRET__FRAME__KIND_DATA:
		handle_data(il, frame->data);
		break;
	case EGRET__FRAME__KIND_CREDIT:
		ic = g_hash_table_lookup(il->calls, &frame->credit->attempt);
		if (ic && ic->reply_sent && !frame->credit->request) {
			stream_out_add_credit(&ic->reply_out, frame->credit->bytes);
			if (ic->reply_out.finished)
				end_call(ic);
		}
		break;
	case EGRET__FRAME__KIND_CANCEL:
		ic = g_hash_table_lookup(il->calls, &frame->cancel->attempt);
		if (ic)
			end_call(ic);
		break;
	case EGRET__FRAME__KIND_FENCE:
		handle_fence(il, frame->fence);
		break;
	case EGRET__FRAME__KIND_PING:
		send_pong(il);
		break;
	case EGRET__FRAME__KIND_PULL:
		pull_send_reply(il->worker->node, il->link, frame->pull);
		break;
	default:
		if (!il->worker->ops->on_frame(il->worker, il->link, frame))
			counter_add(COUNTER_PEER_BAD_FRAMES, 1);
		break;
	}
}

static void end_all_calls(ingress_link_t *il)
{
	GList *calls = g_hash_table_get_values(il->calls);

	for (GList *item = calls; item; item = item->next)
		end_call(item->data);
	g_list_free(calls);
}

static void cancel_link_calls(ingress_link_t *il)
{
	GList *calls = g_hash_table_get_values(il->calls);

	for (GList *item = calls; item; item = item->next) {
		ingress_call_t *ic = item->data;

		if (ic->reply_scheduled)
			continue;
		send_refusal(il, ic->attempt, EGRET__OUTCOME__OUTCOME_UNKNOWN,
			     EGRET__REASON__REASON_DRAINING);
		end_call(ic);
	}
	g_list_free(calls);
}

void ingress_cancel_calls(worker_t *worker)
{
	GHashTableIter iter;
	void *link;

	g_hash_table_iter_init(&iter, worker->ingress_links);
	while (g_hash_table_iter_next(&iter, &link, NULL))
		cancel_link_calls(link);
}

static void free_link(worker_t *worker, void *ctx)
{
	g_hash_table_remove(worker->ingress_links, ctx);
}

static void end_pending(ingress_link_t *il)
{
	if (il->pending)
		places_remove(il->worker->pending_peers, &il->place);
	il->pending = false;
}

static void handle_open(void *ctx)
{
	end_pending(ctx);
}

static void handle_closed(void *ctx, const GError *error)
{
	ingress_link_t *il = ctx;

	if (error->code != EGRET_ERROR_IO)
		log_failure("serve a peer link", error);
	end_pending(il);
	end_all_calls(il);
	il->closed = true;
	worker_defer(il->worker, free_link, il);
}

static const frame_link_ops_t link_ops = {
	.on_open = handle_open,
	.on_frame = handle_frame,
	.on_closed = handle_closed,
};

/* Closes the oldest connection that is not authenticated if there are too many. */
static void make_place(worker_t *worker, usec_t now)
{
	place_t *place = places_choose(worker->pending_peers, now);

	if (!place || !places_are_full(worker->pending_peers))
		return;
	closing_note(&worker->peer_closing, CLOSING_PLACE, worker->pending_peers, place,
		     now);
	g_hash_table_remove(worker->ingress_links,
			    (char *)place - offsetof(ingress_link_t, place));
}

static uint32_t peer_address(int fd)
{
	struct sockaddr_in address = {0};
	socklen_t len = sizeof(address);

	getpeername(fd, (struct sockaddr *)&address, &len);
	return address.sin_addr.s_addr;
}

void ingress_accept(worker_t *worker, int fd)
{
	ingress_link_t *il = g_new0(ingress_link_t, 1);
	usec_t now = clock_boot_usec();

	make_place(worker, now);
	il->pending = true;
	places_add(worker->pending_peers, &il->place, peer_address(fd), now);
	il->worker = worker;
	il->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	il->link = frame_link_accept(NULL, worker->ev, worker->node->auth, fd, &link_ops,
				     il);
	g_hash_table_add(worker->ingress_links, il);
}

/* Logs the calls that the end of the process cuts. */
static void log_cut_calls(const ingress_link_t *il)
{
	usec_t since_stop = node_stop_elapsed(il->worker->node);
	GHashTableIter iter;
	void *value;
	log_rec_t rec;

	g_hash_table_iter_init(&iter, il->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ingress_call_t *ic = value;

		log_begin(&rec, LOG_LEVEL_WARN, "cut");
		log_str(&rec, "request", ic->call->context.request_id);
		log_str(&rec, "service", ic->call->service);
		log_str(&rec, "state", ic->reply_sent ? "responding" : "called");
		log_int(&rec, "attempt", (int64_t)ic->attempt);
		log_int(&rec, "since_stop", since_stop);
		log_end(&rec);
	}
}

void ingress_link_destroy(void *data)
{
	ingress_link_t *il = data;

	if (!il->closed && atomic_load(&il->worker->node->draining))
		log_cut_calls(il);
	end_pending(il);
	end_all_calls(il);
	frame_link_destroy(il->link);
	g_hash_table_destroy(il->calls);
	g_free(il);
}
