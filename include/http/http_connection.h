#ifndef EGRET_HTTP_HTTP_CONNECTION_H
#define EGRET_HTTP_HTTP_CONNECTION_H

#include "http/closing.h"
#include "http/http_server.h"
#include "http/tls.h"

/*
 * NAME
 *	http_connection - one connection of an http_server and its exchanges
 *
 * DESCRIPTION
 *	Shared by http_server.c, http_connection.c and http_exchange.c only.
 *	http_connection_run() does everything that is possible without waiting: reads
 *	requests, starts those that may run, sends responses. Callbacks may end a
 *	request at any point, so the functions of an exchange only note what to do and
 *	schedule a run.
 */

typedef struct http_connection http_connection_t;

struct http_server {
	struct tevent_context *ev;
	const http_server_ops_t *ops;
	void *ctx;
	http_server_options_t options;
	tls_credentials_t *credentials; /* NULL without TLS */
	pipeline_budget_t budget;
	int listen_fd; /* -1 once quiesced */
	bool accepts;  /* polls listen_fd */
	int epoll_fd;  /* of the listener and all connections */
	struct tevent_fd *fde;
	struct tevent_immediate *run;
	bool run_scheduled;
	TAILQ_HEAD(, http_connection) connections;
	TAILQ_HEAD(, http_connection) scheduled;
	places_t *places;
	closing_log_t closing_log;
	size_t freed_bytes; /* at most, by connections closed since the last trim */
	usec_t next_trim;
	usec_t last_sweep;
	usec_t next_accept_line; /* of accept() failures */
	char *buffer;		 /* of HTTP_READ_BYTES, for one read */
};

#define HTTP_READ_BYTES (16u << 10)

struct http_connection {
	TAILQ_ENTRY(http_connection) link;
	TAILQ_ENTRY(http_connection) scheduled_link;
	bool is_scheduled;
	http_server_t *server;
	place_t place;
	size_t bytes_max; /* highest place.bytes */
	int fd;
	struct sockaddr_in client;
	tls_session_t *tls;
	request_reader_t *reader;
	pipeline_t *pipeline;
	GByteArray *unread; /* received, not yet parsed */
	GByteArray *out;    /* to be sent */
	size_t out_sent;
	uint32_t polled;   /* events */
	bool readable;	   /* more may be there to receive */
	bool has_received; /* in the current run */
	bool crowded;	   /* was opened while the server was crowded */
	bool input_failed; /* the end of a request is unknown; no more is read */
	bool client_gone;
	bool failed;  /* to be destroyed */
	bool lingers; /* the last response was sent; reads until the client closes */
	usec_t last_active;
	usec_t last_sent;   /* when the client last took bytes of a response */
	int unacknowledged; /* bytes sent, when the response stalled */
	usec_t lingers_until;
};

struct http_exchange {
	pipeline_entry_t entry; /* has to be first */
	http_connection_t *connection;
	request_head_t *head;
	size_t head_memory; /* of this head and of the request's copy */
	unsigned int error;
	void *request;
	bool woken;
	bool continue_sent;
	unsigned int status;
	GString *response_head; /* header fields */
	bool has_date;
	GBytes *body; /* or NULL if it is streamed */
	int64_t length;
	bool head_sent;
	bool chunked;
	bool finished; /* all of it is in the connection's `out` */
};

/* Owns fd. */
http_connection_t *http_connection_create(http_server_t *server, int fd,
					  const struct sockaddr_in *client);
void http_connection_destroy(http_connection_t *connection);

/* May destroy the connection. */
void http_connection_run(http_connection_t *connection);
void http_connection_handle_events(http_connection_t *connection, uint32_t events);

/* Runs the connection after the current event. */
void http_connection_schedule(http_connection_t *connection);

/* Closes connections until the rest fits the memory budget. Destroys connections, so that
 * none may be in use. */
void http_server_bound_memory(http_server_t *server);

/* Whether the client of a stalled response has taken bytes of it since the last call, or
 * since it stalled: the socket's buffer may take no further bytes for seconds although a
 * slow client reads. */
bool http_connection_takes_response(http_connection_t *connection);

/* Whether the connection was idle or lingered for too long. */
bool http_connection_is_expired(const http_connection_t *connection, usec_t now);

http_exchange_t *http_exchange_create(http_connection_t *connection, request_head_t *head,
				      unsigned int error);
void http_exchange_destroy(http_exchange_t *exchange);

/* Appends what can be sent of the response to the connection's `out`: the head first,
 * then a part of the body. Returns false if the body waits or has failed. */
bool http_exchange_write(http_exchange_t *exchange, bool closes);

/* Runs the scheduled connections after the current event. */
void http_server_schedule(http_server_t *server);

/* A connection was closed: accepts again if that had stopped. */
void http_server_handle_room(http_server_t *server);

#endif
