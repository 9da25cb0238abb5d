#ifndef EGRET_COMMON_ADDRESS_H
#define EGRET_COMMON_ADDRESS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/*
 * NAME
 *	address - IPv4 IP:PORT pairs
 */

/* "255.255.255.255:65535" and the terminator. */
#define ADDRESS_TEXT_BYTES 24

/* Parses "IP:PORT"; port 0 is refused. */
bool address_parse(const char *text, struct sockaddr_in *out, GError **error);

bool address_is_loopback(const struct sockaddr_in *address);
void address_format(const struct sockaddr_in *address, char out[ADDRESS_TEXT_BYTES]);

/* Fails if another process listens there: the shared port would hide it. */
bool address_check_free(const struct sockaddr_in *address, GError **error);

/*
 * Opens a non-blocking listening TCP socket that shares its port with the
 * process's other workers. Returns the descriptor, or -1 with error set.
 */
int address_listen(const struct sockaddr_in *address, GError **error);

#endif
