#include "common/address.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "egretscaled/control/admin.h"
#include "egretscaled/control/config_poll.h"
#include "egretscaled/control/rollout_status.h"
#include "egretscaled/node/worker.h"
#include "egretscaled/peers/gossip_io.h"
#include "egretscaled/peers/pull.h"
#include "egretscaled/peers/rollout_gossip.h"
#include "egretscaled/rates/leases_io.h"
#include "egretscaled/rates/shares_io.h"
#include "egretscaled/wiring.h"

#include "platform/settings.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#define EXIT_FAILED 1
#define CACHED_CONNECTIONS 8L
#define SETTINGS_CHECK_PERIOD USEC_PER_SEC
#define CONTROL_TICK (100 * USEC_PER_MSEC)
/* Time for the drain state to reach all peers before the node stops accepting callers. */
#define DRAIN_NOTICE (1 * USEC_PER_SEC)
/* The platform's clients stop sending requests after two failed readiness checks, which
 * run once per second. */
#define PLATFORM_DRAIN_NOTICE (2300 * USEC_PER_MSEC)
/* Peers learn of the stop this long before that notice ends. */
#define PLATFORM_PEER_NOTICE (500 * USEC_PER_MSEC)
/* Part of the time from SIGTERM to SIGKILL that is available to requests in flight. */
#define DRAIN_PART(span) ((span) / 6 * 5)

typedef struct control {
	node_t *node;
	struct tevent_context *ev;
	curl_loop_t *curl;
	store_t *store;
	gossip_io_t *gossip;
	puller_t *puller;
	config_poll_t *poll;
	leases_io_t *leases;		     /* NULL where node->zone_rates is used */
	shares_io_t *shares;		     /* else NULL */
	rollout_gossip_t *rollout_gossip;    /* NULL without canary_share */
	rollout_status_io_t *rollout_status; /* NULL without canary_share */
	mhd_loop_t *admin;
	mhd_loop_t *readiness; /* on the platform only, else NULL */
	struct tevent_timer *timer;
	bool refuses_callers; /* no new connections of callers are accepted */
	bool left;	      /* the directory entry is set to left */
	bool done;
	usec_t last_tick;
	usec_t next_settings_check;
	struct stat settings_stat;
} control_t;

static void log_phase(const node_t *node, stop_phase_t phase)
{
	log_rec_t rec;

	log_begin(&rec, LOG_LEVEL_INFO, "stop");
	log_str(&rec, "phase", stop_phase_name(phase));
	log_int(&rec, "requests", atomic_load(&node->requests));
	log_end(&rec);
}

static stop_times_t stop_times(const node_t *node)
{
	const settings_t *settings = node->settings;
	usec_t stop_time = node_bounds(node)->stop_time;

	if (!settings->on_platform)
		return (stop_times_t){
			.notice = DRAIN_NOTICE,
			.drain = (usec_t)settings->drain_timeout_sec * USEC_PER_SEC +
				 DRAIN_NOTICE,
		};
	usec_t notice = MIN(PLATFORM_DRAIN_NOTICE, stop_time / 2);
	return (stop_times_t){
		.withdraw = MAX(notice - PLATFORM_PEER_NOTICE, 0),
		.notice = notice,
		.drain = DRAIN_PART(stop_time),
	};
}

static void begin_stop(control_t *control)
{
	node_t *node = control->node;
	stop_times_t times = stop_times(node);

	pthread_mutex_lock(&node->stop_lock);
	bool began = stop_begin(node->stop, clock_boot_usec(), &times);
	pthread_mutex_unlock(&node->stop_lock);
	if (!began)
		return;
	atomic_store(&node->draining, true);
	if (control->leases)
		leases_io_release(control->leases);
	log_phase(node, STOP_NOTICE);
}

static void leave_directory(control_t *control)
{
	node_t *node = control->node;

	pthread_mutex_lock(&node->gossip_lock);
	member_t fields = *directory_self(gossip_directory(node->gossip));
	fields.state = EGRET__MEMBER_STATE__MEMBER_LEFT;
	gossip_update_self(node->gossip, clock_boot_usec(), &fields);
	gossip_push(node->gossip, clock_boot_usec());
	pthread_mutex_unlock(&node->gossip_lock);
}

static void stop_accepting_callers(control_t *control)
{
	if (control->refuses_callers)
		return;
	control->refuses_callers = true;
	for (uint32_t i = 0; i < control->node->worker_count; i++)
		worker_post(control->node->workers[i], worker_quiesce, NULL);
}

/* Whether the target runs calls, which may make outbound calls on new connections. */
static bool target_works(node_t *node)
{
	gate_load_t load;

	pthread_mutex_lock(&node->gate_lock);
	gate_load(node->gate, clock_boot_usec(), &load);
	pthread_mutex_unlock(&node->gate_lock);
	return load.inflight > 0;
}

static void cancel_requests(const control_t *control)
{
	node_t *node = control->node;
	unsigned int cancelled = atomic_load(&node->requests);
	log_rec_t rec;

	counter_add(COUNTER_CUT_AT_STOP, cancelled);
	log_begin(&rec, LOG_LEVEL_WARN, "cut");
	log_int(&rec, "requests", cancelled);
	log_end(&rec);
	node_close_gate(node);
	for (uint32_t i = 0; i < node->worker_count; i++)
		worker_post(node->workers[i], worker_cancel_requests, NULL);
}

static void enter_phase(control_t *control, stop_phase_t phase)
{
	log_phase(control->node, phase);
	if (phase == STOP_WITHDRAW) {
		atomic_store(&control->node->withdrawn, true);
		node_update_member(control->node);
	}
	if (phase == STOP_CANCEL)
		cancel_requests(control);
	if ((phase == STOP_LEAVE || phase == STOP_CANCEL) && !control->left) {
		control->left = true;
		stop_accepting_callers(control);
		leave_directory(control);
	}
	control->done = phase == STOP_DONE;
}

static void advance_stop(control_t *control, usec_t now)
{
	node_t *node = control->node;
	stop_phase_t phase;
	bool changed;

	if (!atomic_load(&node->draining))
		return;
	do {
		pthread_mutex_lock(&node->stop_lock);
		changed = stop_advance(node->stop, now, atomic_load(&node->requests));
		phase = stop_phase(node->stop);
		pthread_mutex_unlock(&node->stop_lock);
		if (changed)
			enter_phase(control, phase);
	} while (changed);
	if (phase == STOP_DRAIN && !target_works(node))
		stop_accepting_callers(control);
}

/* After the process was paused, the node is not ready until it has read the configuration
 * again. */
static void check_pause(control_t *control, usec_t now)
{
	usec_t gap = now - control->last_tick;
	log_rec_t rec;

	control->last_tick = now;
	if (gap < NODE_PAUSE_MIN)
		return;
	log_begin(&rec, LOG_LEVEL_WARN, "pause");
	log_int(&rec, "usec", gap);
	log_end(&rec);
	node_clear_ready(control->node);
	config_poll_now(control->poll);
}

/* Reloads the platform's settings file. An invalid file changes nothing. */
static void reload_settings(control_t *control)
{
	node_t *node = control->node;
	const char *path = node->settings->settings_file;
	settings_t reloaded = {.bounds = *node_bounds(node)};
	GError *error = NULL;
	log_rec_t rec;

	if (!path)
		return;
	if (!platform_settings_read(path, &reloaded, &error)) {
		log_failure("reload the settings file", error);
		g_clear_error(&error);
		return;
	}
	node_apply_settings(node, &reloaded);
	settings_clear(&reloaded);
	log_begin(&rec, LOG_LEVEL_INFO, "reload");
	log_str(&rec, "settings", path);
	log_end(&rec);
}

/* Reloads the settings file if it has changed, also without a SIGHUP. */
static void check_settings_file(control_t *control)
{
	const char *path = control->node->settings->settings_file;
	struct stat now;

	if (!path || stat(path, &now) != 0)
		return;
	bool changed = control->settings_stat.st_ino != now.st_ino ||
		       control->settings_stat.st_size != now.st_size ||
		       control->settings_stat.st_mtim.tv_sec != now.st_mtim.tv_sec ||
		       control->settings_stat.st_mtim.tv_nsec != now.st_mtim.tv_nsec;
	bool first = control->settings_stat.st_ino == 0;

	control->settings_stat = now;
	if (changed && !first)
		reload_settings(control);
}

static void schedule(control_t *control);

static void handle_tick(struct tevent_context *ev, struct tevent_timer *te,
			struct timeval when, void *private_data)
{
	(void)ev;
	(void)te;
	(void)when;
	control_t *control = private_data;
	usec_t now = clock_boot_usec();

	check_pause(control, now);
	node_check_target(control->node);
	if (now >= control->next_settings_check) {
		control->next_settings_check = now + SETTINGS_CHECK_PERIOD;
		check_settings_file(control);
	}
	advance_stop(control, now);
	schedule(control);
}

static void schedule(control_t *control)
{
	control->timer = tevent_add_timer(control->ev, control->ev,
					  tevent_timeval_current_ofs(0, CONTROL_TICK),
					  handle_tick, control);
}

static void handle_term(struct tevent_context *ev, struct tevent_signal *se, int number,
			int count, void *info, void *private_data)
{
	(void)ev;
	(void)se;
	(void)number;
	(void)count;
	(void)info;
	control_t *control = private_data;

	begin_stop(control);
	advance_stop(control, clock_boot_usec());
}

/* Reads certificate and key. On an error the current ones stay in use. */
static bool load_certificate(node_t *node, GError **error)
{
	const settings_t *settings = node->settings;
	char *cert = NULL;
	char *key = NULL;

	if (!settings->caller_cert)
		return true;
	if (!g_file_get_contents(settings->caller_cert, &cert, NULL, error) ||
	    !g_file_get_contents(settings->caller_key, &key, NULL, error)) {
		g_free(cert);
		return false;
	}
	pthread_mutex_lock(&node->config_lock);
	g_free(node->tls_cert);
	g_free(node->tls_key);
	node->tls_cert = cert;
	node->tls_key = key;
	pthread_mutex_unlock(&node->config_lock);
	return true;
}

/* Reloads the settings file, the peer secrets and the certificate. What cannot be
 * reloaded stays as it was. */
static void handle_hup(struct tevent_context *ev, struct tevent_signal *se, int number,
		       int count, void *info, void *private_data)
{
	(void)ev;
	(void)se;
	(void)number;
	(void)count;
	(void)info;
	control_t *control = private_data;
	node_t *node = control->node;
	GError *error = NULL;

	reload_settings(control);
	if (!peer_auth_reload(node->auth, &error)) {
		log_failure("reload the peer secrets", error);
		g_clear_error(&error);
	}
	if (!node->settings->caller_cert)
		return;
	if (!load_certificate(node, &error)) {
		log_failure("reload the certificate", error);
		g_clear_error(&error);
		return;
	}
	for (uint32_t i = 0; i < node->worker_count; i++)
		worker_post(node->workers[i], worker_renew_certificate, NULL);
}

static bool addresses_free(const settings_t *settings, GError **error)
{
	const struct sockaddr_in *target = settings->on_platform
						   ? &settings->report_listen
						   : &settings->target_listen;

	return address_check_free(&settings->peer_listen, error) &&
	       address_check_free(&settings->caller_listen, error) &&
	       address_check_free(target, error) &&
	       address_check_free(&settings->admin_listen, error);
}

static bool start_workers(node_t *node, GError **error)
{
	uint32_t wanted = node->settings->workers;

	if (!addresses_free(node->settings, error))
		return false;

	node->workers = g_new0(worker_t *, wanted);
	for (uint32_t i = 0; i < wanted; i++) {
		node->workers[i] = worker_create(node, wiring_worker_ops(), error);
		if (!node->workers[i])
			return false;
		node->worker_count++;
	}
	for (uint32_t i = 0; i < wanted; i++) {
		if (!worker_start(node->workers[i], error))
			return false;
	}
	return true;
}

static bool start_control(control_t *control, GError **error)
{
	node_t *node = control->node;

	control->curl = curl_loop_create(control->ev, control->ev, CACHED_CONNECTIONS);
	control->store = node_store_create(node, control->curl);
	control->gossip = gossip_io_create(control->ev, control->ev, node, error);
	if (!control->gossip)
		return false;
	control->puller = puller_create(control->ev, control->ev, node);
	if (node->zone_rates)
		control->shares = shares_io_create(control->ev, control->ev, node);
	else
		control->leases =
			leases_io_create(control->ev, control->ev, node, control->store);
	control->poll =
		config_poll_create(control->ev, control->ev, node, control->store);
	if (node->rollout) {
		control->rollout_gossip =
			rollout_gossip_create(control->ev, control->ev, node);
		control->rollout_status = rollout_status_create(control->ev, control->ev,
								node, control->store);
	}
	control->admin = admin_create(control->ev, control->ev, node, error);
	if (!control->admin)
		return false;
	if (node->settings->on_platform) {
		control->readiness =
			readiness_create(control->ev, control->ev, node, error);
		if (!control->readiness)
			return false;
	}
	control->last_tick = clock_boot_usec();
	schedule(control);
	tevent_add_signal(control->ev, control->ev, SIGTERM, 0, handle_term, control);
	tevent_add_signal(control->ev, control->ev, SIGINT, 0, handle_term, control);
	tevent_add_signal(control->ev, control->ev, SIGHUP, 0, handle_hup, control);
	return true;
}

static void stop_control(control_t *control)
{
	mhd_loop_destroy(control->admin);
	mhd_loop_destroy(control->readiness);
	config_poll_destroy(control->poll);
	store_destroy(control->store);
	rollout_status_destroy(control->rollout_status);
	rollout_gossip_destroy(control->rollout_gossip);
	leases_io_destroy(control->leases);
	shares_io_destroy(control->shares);
	puller_destroy(control->puller);
	gossip_io_destroy(control->gossip);
	curl_loop_destroy(control->curl);
}

/* Blocks all signals before the workers start. They inherit the mask, so that only the
 * control thread handles signals. */
static void block_signals(sigset_t *old)
{
	sigset_t set;

	sigfillset(&set);
	pthread_sigmask(SIG_BLOCK, &set, old);
}

static int run(settings_t *settings, GError **error)
{
	control_t control = {.node = node_create(settings, wiring_node_ops(), error)};
	sigset_t old;

	if (!control.node)
		return EXIT_FAILED;
	if (!load_certificate(control.node, error))
		return EXIT_FAILED;
	control.ev = tevent_context_init(NULL);
	block_signals(&old);
	bool started = start_workers(control.node, error);
	pthread_sigmask(SIG_SETMASK, &old, NULL);
	if (!started || !start_control(&control, error))
		return EXIT_FAILED;
	while (!control.done) {
		if (tevent_loop_once(control.ev) != 0)
			break;
	}
	for (uint32_t i = 0; i < control.node->worker_count; i++)
		worker_stop(control.node->workers[i]);
	for (uint32_t i = 0; i < control.node->worker_count; i++)
		worker_destroy(control.node->workers[i]);
	stop_control(&control);
	talloc_free(control.ev);
	node_destroy(control.node);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	settings_t *settings = settings_parse(argc, argv);
	GError *error = NULL;

	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (!log_open(settings->log_level, settings->log_format, &error)) {
		fprintf(stderr, "egretscaled: %s\n", error->message);
		return EXIT_FAILED;
	}
	int status = run(settings, &error);
	if (error) {
		log_failure("start", error);
		g_clear_error(&error);
	}
	log_close();
	settings_destroy(settings);
	return status;
}
