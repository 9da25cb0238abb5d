#ifndef EGRET_COMMON_ADDRESS_H
#define EGRET_COMMON_ADDRESS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/*
 * NAME
 *	address - IPv4 IP:PORT pairs
 *
 * THREADS
 *	All functions are safe from any thread.
 */

/* Holds "255.255.255.255:65535" and the terminating NUL. */
#define ADDRESS_TEXT_BYTES 24

/* Parses "IP:PORT" with a port from 1 to 65535. Sets EGRET_ERROR_ADDRESS on failure. */
bool address_parse(const char *text, struct sockaddr_in *out, GError **error);

bool address_is_loopback(const struct sockaddr_in *address);
void address_format(const struct sockaddr_in *address, char out[ADDRESS_TEXT_BYTES]);

/*
 * Fails with EGRET_ERROR_IO if another process listens on the address.
 * address_listen() does not detect this, because SO_REUSEPORT lets both bind.
 */
bool address_check_free(const struct sockaddr_in *address, GError **error);

/*
 * Opens a non-blocking listening TCP socket with SO_REUSEPORT, so that each
 * worker of the process can listen on the same port. Returns the descriptor,
 * which the caller closes, or -1 with EGRET_ERROR_IO set.
 */
int address_listen(const struct sockaddr_in *address, GError **error);

#endif
