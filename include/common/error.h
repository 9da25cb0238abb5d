#ifndef EGRET_COMMON_ERROR_H
#define EGRET_COMMON_ERROR_H

#include <glib.h>

/*
 * NAME
 *	error - the GError domain shared by all packages
 *
 * DESCRIPTION
 *	Every failure carries a code of egret_error_code_t. Functions that can
 *	fail take a GError ** as their last parameter; the caller owns the error
 *	and frees it with g_error_free(3).
 */

#define EGRET_ERROR egret_error_quark()

typedef enum egret_error_code {
	EGRET_ERROR_SETTING,	    /* a flag or environment variable has a bad value */
	EGRET_ERROR_ADDRESS,	    /* not an IP:PORT pair */
	EGRET_ERROR_IO,		    /* a system call failed */
	EGRET_ERROR_LIBRARY,	    /* a library refused to start */
	EGRET_ERROR_RECORD,	    /* a configuration record is invalid */
	EGRET_ERROR_JSON,	    /* input is not the expected JSON */
	EGRET_ERROR_FRAME,	    /* a frame is malformed or too large */
	EGRET_ERROR_AUTH,	    /* a peer failed authentication */
	EGRET_ERROR_UNAVAILABLE,    /* the platform did not answer or refused */
	EGRET_ERROR_TIMEOUT,	    /* the platform exceeded the operation's timeout */
	EGRET_ERROR_CONFLICT,	    /* a conditional commit lost against another write */
	EGRET_ERROR_UNKNOWN_RESULT, /* a write's answer was lost */
	EGRET_ERROR_NOT_FOUND,	    /* the named row or object does not exist */
} egret_error_code_t;

GQuark egret_error_quark(void);

/* Returns the stable lower-case name of a code, for logs and exit messages. */
const char *egret_error_name(int code);

#endif
