#include "egretscaled/wiring.h"

#include "egretscaled/node/crash.h"
#include "egretscaled/node/load_log.h"
#include "egretscaled/node/rollout.h"
#include "egretscaled/peers/gossip_io.h"
#include "egretscaled/peers/ingress.h"
#include "egretscaled/peers/peer_client.h"
#include "egretscaled/peers/rollout_gossip.h"
#include "egretscaled/rates/loans_io.h"
#include "egretscaled/rates/shares_io.h"
#include "egretscaled/rates/token_wait.h"
#include "egretscaled/request/claims_io.h"
#include "egretscaled/request/http_front.h"
#include "egretscaled/request/target_call.h"
#include "egretscaled/request/target_loss.h"

static void handle_message(node_t *node, const Egret__Gossip *message)
{
	switch (message->kind) {
	case EGRET__GOSSIP_KIND__GOSSIP_DEMAND:
		shares_io_handle_demand(node, message);
		break;
	case EGRET__GOSSIP_KIND__GOSSIP_TOKEN_ASK:
		shares_io_handle_question(node, message);
		break;
	case EGRET__GOSSIP_KIND__GOSSIP_ROLLOUT:
		rollout_gossip_handle_message(node, message);
		break;
	default:
		token_wait_handle_answer(node, message);
	}
}

const node_ops_t *wiring_node_ops(void)
{
	static node_ops_t ops = {
		.on_gate_verdict = target_call_handle_verdict,
		.on_member = shares_io_handle_member,
		.on_target_report = node_crash_handle_report,
		.on_config = node_rollout_apply,
		.on_message = handle_message,
	};

	ops.gossip = gossip_io_ops();
	return &ops;
}

static void create_tables(worker_t *worker)
{
	worker->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_client_destroy);
	worker->ingress_links =
		g_hash_table_new_full(NULL, NULL, ingress_link_destroy, NULL);
	worker->borrowers = loans_io_borrowers_create();
	worker->token_waiters = token_wait_table_create();
	worker->token_requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	worker->claims = claim_batch_create(worker);
	worker->target_loss = target_loss_create(worker);
	if (worker->index == 0)
		worker->load_log = load_log_create(clock_boot_usec());
}

static void destroy_tables(worker_t *worker)
{
	g_hash_table_destroy(worker->ingress_links);
	g_hash_table_destroy(worker->peers);
	g_hash_table_destroy(worker->borrowers);
	g_hash_table_destroy(worker->token_waiters);
	g_hash_table_destroy(worker->token_requests);
	claim_batch_destroy(worker->claims);
	target_loss_destroy(worker->target_loss);
	load_log_destroy(worker->load_log);
}

static bool handle_frame(worker_t *worker, frame_link_t *link, const Egret__Frame *frame)
{
	switch (frame->kind_case) {
	case EGRET__FRAME__KIND_LOAN_REQUEST:
		loans_io_handle_request(worker, link, frame->loan_request);
		return true;
	case EGRET__FRAME__KIND_LOAN_REPLY:
		loans_io_handle_reply(worker, frame->loan_reply);
		return true;
	case EGRET__FRAME__KIND_KEEPER_CONFIRM:
		loans_io_handle_confirm(worker, link, frame->keeper_confirm);
		return true;
	default:
		return false;
	}
}

static void cancel_requests(worker_t *worker)
{
	http_front_cancel_requests(worker);
	ingress_cancel_calls(worker);
}

static void tick(worker_t *worker, usec_t now)
{
	loans_io_tick(worker, now);
	peer_clients_check(worker, now);
}

static void sweep(worker_t *worker, usec_t now)
{
	peer_clients_sweep(worker, now);
	if (worker->load_log)
		load_log_write(worker->load_log, worker, now);
}

const worker_ops_t *wiring_worker_ops(void)
{
	static worker_ops_t ops = {
		.create = create_tables,
		.destroy = destroy_tables,
		.log_cut_requests = http_front_log_cut_requests,
		.cancel_requests = cancel_requests,
		.on_peer_connection = ingress_accept,
		.on_frame = handle_frame,
		.serve = target_call_start,
		.tick = tick,
		.sweep = sweep,
	};

	ops.caller_http = http_front_ops(HTTP_LISTENER_CALLERS);
	ops.target_http = http_front_ops(HTTP_LISTENER_TARGET);
	ops.report_http = http_front_ops(HTTP_LISTENER_REPORTS);
	return &ops;
}
