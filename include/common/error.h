#ifndef EGRET_COMMON_ERROR_H
#define EGRET_COMMON_ERROR_H

#include <glib.h>

/*
 * NAME
 *	error - the GError domain and codes of the project
 *
 * DESCRIPTION
 *	Every error has a code of egret_error_code_t. Functions that can fail take
 *	a GError ** as their last parameter. The caller owns the error and frees it
 *	with g_error_free(3).
 */

#define EGRET_ERROR egret_error_quark()

typedef enum egret_error_code {
	/* A flag, an environment variable or the content of a settings or secret file is
	 * missing or invalid. */
	EGRET_ERROR_SETTING,
	EGRET_ERROR_ADDRESS, /* not an IP:PORT pair */
	EGRET_ERROR_IO,	     /* a system call failed, or a peer closed the connection */
	EGRET_ERROR_LIBRARY, /* a library or a thread failed to start */
	EGRET_ERROR_RECORD,  /* a configuration record is invalid */
	/* Input is not the expected JSON, or a report names another target. */
	EGRET_ERROR_JSON,
	EGRET_ERROR_FRAME, /* a frame is malformed or too large */
	/* A peer failed authentication or did not end the handshake in time. */
	EGRET_ERROR_AUTH,
	/* The platform or an admin address is unreachable or refused the request. */
	EGRET_ERROR_UNAVAILABLE,
	EGRET_ERROR_TIMEOUT,	    /* the platform or a peer did not respond in time */
	EGRET_ERROR_CONFLICT,	    /* a conditional commit failed: a row has changed */
	EGRET_ERROR_UNKNOWN_RESULT, /* a write may or may not have been applied */
	EGRET_ERROR_NOT_FOUND,	    /* the row, object or report path does not exist */
} egret_error_code_t;

GQuark egret_error_quark(void);

/* Returns the name of a code for log lines and exit messages, or "other" if the code is
 * out of range. Operators match these names: they do not change. */
const char *egret_error_name(int code);

#endif
