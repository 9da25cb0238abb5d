#include "common/address.h"

#include "common/error.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024

bool address_parse(const char *text, struct sockaddr_in *out, GError **error)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];
	char *end = NULL;

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (!colon || (size_t)(colon - text) >= sizeof(host))
		goto bad;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	if (inet_pton(AF_INET, host, &out->sin_addr) != 1)
		goto bad;
	long port = strtol(colon + 1, &end, 10);
	if (colon[1] < '0' || colon[1] > '9' || *end || port < 1 || port > 65535)
		goto bad;
	out->sin_port = htons((uint16_t)port);
	return true;
bad:
	g_set_error(error, EGRET_ERROR, EGRET_ERROR_ADDRESS,
		    "'%s' is not IP:PORT with an IPv4 address and a port from 1 to 65535",
		    text);
	return false;
}

bool address_is_loopback(const struct sockaddr_in *address)
{
	return (ntohl(address->sin_addr.s_addr) >> 24) == 127;
}

void address_format(const struct sockaddr_in *address, char out[ADDRESS_TEXT_BYTES])
{
	char host[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &address->sin_addr, host, sizeof(host));
	g_snprintf(out, ADDRESS_TEXT_BYTES, "%s:%u", host, ntohs(address->sin_port));
}

bool address_check_free(const struct sockaddr_in *address, GError **error)
{
	char text[ADDRESS_TEXT_BYTES];
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool is_free = fd >= 0 &&
		       setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
		       bind(fd, (const struct sockaddr *)address, sizeof(*address)) == 0;

	if (!is_free) {
		address_format(address, text);
		g_set_error(error, EGRET_ERROR, EGRET_ERROR_IO, "cannot listen on %s: %s",
			    text, g_strerror(errno));
	}
	if (fd >= 0)
		close(fd);
	return is_free;
}

int address_listen(const struct sockaddr_in *address, GError **error)
{
	char text[ADDRESS_TEXT_BYTES];
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd >= 0 && setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
	    setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) == 0 &&
	    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) == 0 &&
	    bind(fd, (const struct sockaddr *)address, sizeof(*address)) == 0 &&
	    listen(fd, LISTEN_BACKLOG) == 0)
		return fd;
	address_format(address, text);
	g_set_error(error, EGRET_ERROR, EGRET_ERROR_IO, "cannot listen on %s: %s", text,
		    g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}
