/* Check whether an HTTP/1.1 response is whole.

   A response may be cut at any byte, contradict itself or be malformed.  Such
   a response is neither a success nor a promise that a request did not run,
   whatever its status line says.  This type alone decides that: the HTTP
   client feeds it with the lines and bytes that it receives, and reports a
   response as complete only if mq_response_check_end finds no fault.

   No I/O.  Invariant: once a fault is found it stays.  Lines end in LF or CR
   LF, as RFC 9112 allows; chunks end in CR LF.  */

#ifndef MQ_RESPONSE_CHECK_H
#define MQ_RESPONSE_CHECK_H

#include <glib.h>
#include <mq/str.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* How the end of a response's body is found.  */
typedef enum mq_response_framing
{
  MQ_RESPONSE_NO_HEAD,  /* Unknown: the head is not complete.  */
  MQ_RESPONSE_NO_BODY,  /* By its status or its request's method.  */
  MQ_RESPONSE_LENGTH,   /* By its length.  */
  MQ_RESPONSE_CHUNKED,  /* By its last chunk.  */
  MQ_RESPONSE_TO_CLOSE, /* By the end of its connection.  */
  MQ_RESPONSE_FRAMINGS
} mq_response_framing;

typedef enum mq_response_fault
{
  MQ_RESPONSE_SOUND,
  MQ_RESPONSE_HEAD_CUT,    /* No empty line ends the head.  */
  MQ_RESPONSE_STATUS_LINE, /* Malformed, or a status that nobody asked for.  */
  MQ_RESPONSE_HEADER,      /* Malformed.  */
  MQ_RESPONSE_BAD_LENGTH,  /* Not a number, lengths that differ, or a length
                              that the status excludes.  */
  MQ_RESPONSE_BAD_CODING,  /* Not "chunked" alone, or beside a length.  */
  MQ_RESPONSE_AMBIGUOUS,   /* A header that may occur once has two values.  */
  MQ_RESPONSE_FOREIGN,     /* Belongs to another request.  */
  MQ_RESPONSE_DENIES_RUN,  /* States that the request did not run, with a
                              status that says otherwise.  */
  MQ_RESPONSE_BAD_CHUNK,   /* Malformed.  */
  MQ_RESPONSE_BODY_CUT,    /* Ends before its length or its last chunk.  */
  MQ_RESPONSE_FAULTS
} mq_response_fault;

/* What a response must comply with.  The spans are copied; what the pointers
   name must outlive the check.  */
typedef struct mq_response_rules
{
  mq_span echo_name;         /* Header that the response must hold ...  */
  mq_span echo_value;        /* ... with this value; empty name: none.  */
  const char *const *single; /* Headers that may not occur with two values, up
                                to a NULL; NULL: none.  */
  const char *not_run; /* Header by which an upstream states that it did not
                          run the request; NULL: none.  */
  bool has_no_body;    /* The request's method is HEAD.  */
} mq_response_rules;

/* State of the parser of chunks.  */
typedef enum mq_chunk_state
{
  MQ_CHUNK_SIZE,         /* At the first digit of a size.  */
  MQ_CHUNK_DIGITS,       /* Behind a digit of it.  */
  MQ_CHUNK_SPACE,        /* Behind a space that follows it.  */
  MQ_CHUNK_EXTENSION,    /* Behind the semicolon.  */
  MQ_CHUNK_SIZE_END,     /* Behind the CR of its line.  */
  MQ_CHUNK_DATA,         /* In its data.  */
  MQ_CHUNK_DATA_CR,      /* Behind its data.  */
  MQ_CHUNK_DATA_LF,      /* Behind the CR that follows its data.  */
  MQ_CHUNK_TRAILER,      /* At the beginning of a line of the trailer.  */
  MQ_CHUNK_TRAILER_LINE, /* In a line of the trailer.  */
  MQ_CHUNK_LAST_LF,      /* Behind the CR of the last line.  */
  MQ_CHUNK_END           /* Behind the response.  */
} mq_chunk_state;

typedef struct mq_response_check
{
  mq_str *echo_name; /* As in the rules; NULL: none.  */
  mq_str *echo_value;
  const char *const *single;
  const char *not_run;
  bool has_no_body;
  mq_response_fault fault;
  mq_response_framing framing;
  GString *head; /* Status line and headers of the response.  */
  size_t trailer_bytes;
  size_t extension_bytes; /* Of chunks.  */
  unsigned repetitions;   /* Of headers that may occur once.  */
  unsigned status;        /* 0: no status line.  */
  bool has_length;
  bool has_coding;
  uint64_t length;
  uint64_t body_bytes;
  mq_chunk_state chunk_state;
  uint64_t chunk_left; /* Bytes of its data, or its size so far.  */
  unsigned chunk_digits;
  bool has_excess; /* Bytes followed the last chunk.  */
} mq_response_check;

/* Initializes CHECK for one response that must comply with RULES.  */
void mq_response_check_init (mq_response_check *check,
                             const mq_response_rules *rules);
void mq_response_check_finish (mq_response_check *check);

/* Takes the next LINE of a head, with its end.  An interim response (1xx) is
   followed by another head.  Lines after the head of the response are those of
   its trailer, which is checked and not kept.  Returns false if a fault is
   found, after which the response need not be read on.  */
bool mq_response_check_line (mq_response_check *check, mq_span line);

/* Takes the next BYTES of a chunked body as they are on the wire.  Returns
   false if a fault is found.  */
bool mq_response_check_chunks (mq_response_check *check, mq_span bytes);

/* Counts N bytes of the body, without the framing of chunks.  */
void mq_response_check_count_body (mq_response_check *check, size_t n);

/* Nothing more comes.  IN_ORDER is false if the connection has failed rather
   than been closed.  Returns what is wrong with the response,
   MQ_RESPONSE_SOUND if it is whole.  */
mq_response_fault mq_response_check_end (mq_response_check *check,
                                         bool in_order);

/* Returns true if the head of the response is complete and sound.  */
bool mq_response_check_has_head (const mq_response_check *check);

/* Returns true for a STATUS that rejects a request, 4xx or 503.  No other one
   may come with the statement that the request did not run: a success, and an
   error of the run itself, contradict it.  */
bool mq_response_status_rejects (unsigned status);

/* Names in logs and labels of metrics, in lower case.  Static.  */
const char *mq_response_fault_name (mq_response_fault fault);
const char *mq_response_framing_name (mq_response_framing framing);

/* Returns the value of the header NAME in HEAD, a status line and headers,
   with NULL data if it is missing.  Borrowed from HEAD.  */
mq_span mq_response_head_find (mq_span head, const char *name);

G_END_DECLS

#endif
