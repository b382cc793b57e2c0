/* Check whether a response is whole: see mq/response_check.h.

   libcurl accepts more than that: it takes the last of several lengths and the
   leading digits of one, ignores what follows the size of a chunk, and ends a
   call without an error when the connection is closed inside the head or
   before the last line feed.  */

#include <mq/response_check.h>

#include <mq/internal/http_header.h>

#include <string.h>

#define MIN_FINAL_STATUS 200
#define MAX_STATUS 599
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define STATUS_CLIENT_ERROR 400
#define STATUS_SERVER_ERROR 500
#define STATUS_UNAVAILABLE 503

#define MAX_HEAD_BYTES ((size_t)64 * 1024)
/* Bytes of the extensions of all chunks.  */
#define MAX_EXTENSION_BYTES ((size_t)64 * 1024)
/* Repetitions of headers that may occur once.  Each is compared with the first
   one, which is searched for.  */
#define MAX_REPETITIONS 16
/* Digits of a chunk's size, so that it fits 63 bits.  */
#define MAX_CHUNK_DIGITS 15

mq_span
mq_response_head_find (mq_span head, const char *name)
{
  size_t size = strlen (name);
  const char *line = head.data;
  const char *stop = head.data + head.size;
  const char *end;

  for (; line < stop && (end = memchr (line, '\n', (size_t)(stop - line)));
       line = end + 1)
    {
      const char *value = line + size + 1;

      if ((size_t)(end - line) <= size || line[size] != ':'
          || g_ascii_strncasecmp (line, name, size) != 0)
        continue;
      return mq_span_trim ((mq_span){ value, (size_t)(end - value) });
    }
  return (mq_span){ NULL, 0 };
}

static bool
check_fail (mq_response_check *check, mq_response_fault fault)
{
  if (check->fault == MQ_RESPONSE_SOUND)
    check->fault = fault;
  return false;
}

static mq_span
check_head (const mq_response_check *check)
{
  return (mq_span){ check->head->str, check->head->len };
}

/* Returns LINE without its end.  */
static mq_span
line_text (mq_span line)
{
  if (line.size > 0 && line.data[line.size - 1] == '\n')
    line.size--;
  if (line.size > 0 && line.data[line.size - 1] == '\r')
    line.size--;
  return line;
}

/* ---- The status line.  */

/* Reads the status of TEXT, "HTTP/1.1 200 OK".  Returns 0 if it is
   malformed.  */
static unsigned
status_line_read (mq_span text)
{
  unsigned status = 0;

  if (text.size < sizeof "HTTP/1.1 200" - 1
      || (!mq_span_starts_with (text, MQ_SPAN ("HTTP/1.1 "))
          && !mq_span_starts_with (text, MQ_SPAN ("HTTP/1.0 "))))
    return 0;
  for (size_t i = 9; i < 12; i++)
    {
      if (!g_ascii_isdigit (text.data[i]))
        return 0;
      status = status * 10 + (unsigned)(text.data[i] - '0');
    }
  return text.size == 12 || text.data[12] == ' ' ? status : 0;
}

/* Returns true if a status line begins within LINE.  Bytes of a late response
   to an earlier request then came before it.  */
static bool
line_has_inner_head (mq_span line)
{
  const char *end = line.data + line.size;
  const char *at = line.data + 1;

  for (; at < end
         && (at = memmem (at, (size_t)(end - at), "HTTP/", strlen ("HTTP/")));
       at++)
    if (status_line_read (line_text ((mq_span){ at, (size_t)(end - at) }))
        != 0)
      return true;
  return false;
}

static bool
check_status_line (mq_response_check *check, mq_span line)
{
  unsigned status = status_line_read (line_text (line));

  /* No request asks for another protocol.  */
  if (status < 100 || status > MAX_STATUS
      || status == STATUS_SWITCHING_PROTOCOLS)
    return check_fail (check, MQ_RESPONSE_STATUS_LINE);
  check->status = status;
  g_string_append_len (check->head, line.data, (gssize)line.size);
  return true;
}

/* ---- Headers.  */

/* Reads the length in VALUE, which may be a list of the same number.  Returns
   false if it is malformed.  */
static bool
length_read (mq_span value, uint64_t *length)
{
  bool any = false;

  for (;;)
    {
      const char *comma
          = value.size > 0 ? memchr (value.data, ',', value.size) : NULL;
      size_t n = comma != NULL ? (size_t)(comma - value.data) : value.size;
      uint64_t number;

      if (mq_span_to_u64 (mq_span_trim ((mq_span){ value.data, n }), &number)
              < 0
          || number > INT64_MAX || (any && number != *length))
        return false;
      *length = number;
      any = true;
      if (comma == NULL)
        return true;
      value = (mq_span){ comma + 1, value.size - n - 1 };
    }
}

static bool
check_length (mq_response_check *check, mq_span value)
{
  uint64_t length = 0;

  if (!length_read (value, &length)
      || (check->has_length && length != check->length))
    return check_fail (check, MQ_RESPONSE_BAD_LENGTH);
  check->has_length = true;
  check->length = length;
  return true;
}

static bool
check_coding (mq_response_check *check, mq_span value)
{
  if (check->has_coding || value.size != strlen ("chunked")
      || g_ascii_strncasecmp (value.data, "chunked", value.size) != 0)
    return check_fail (check, MQ_RESPONSE_BAD_CODING);
  check->has_coding = true;
  return true;
}

/* Returns true if HEADER may not occur twice.  */
static bool
check_is_single (const mq_response_check *check, const mq_http_header *header)
{
  const char *const *names = check->single;

  if (check->echo_name != NULL
      && mq_http_header_is (header, mq_str_cstr (check->echo_name)))
    return true;
  for (; names != NULL && *names != NULL; names++)
    if (mq_http_header_is (header, *names))
      return true;
  return false;
}

/* Check HEADER against the one of this name that is in the head already.  */
static bool
check_single (mq_response_check *check, const mq_http_header *header)
{
  char *name = g_strndup (header->name.data, header->name.size);
  mq_span before = mq_response_head_find (check_head (check), name);

  g_free (name);
  if (before.data == NULL)
    return true;
  if (mq_span_equal (before, header->value)
      && ++check->repetitions <= MAX_REPETITIONS)
    return true;
  return check_fail (check, MQ_RESPONSE_AMBIGUOUS);
}

/* Reads HEADER, which borrows from LINE.  Returns false if it is malformed. */
static bool
header_read (mq_span line, mq_http_header *header)
{
  mq_span text = line_text (line);
  const char *colon
      = text.size > 0 ? memchr (text.data, ':', text.size) : NULL;

  if (colon == NULL)
    return false;
  header->name = (mq_span){ text.data, (size_t)(colon - text.data) };
  header->value = mq_span_trim (
      (mq_span){ colon + 1, text.size - header->name.size - 1 });
  return mq_http_header_is_valid (header);
}

static bool
check_header (mq_response_check *check, mq_span line)
{
  mq_http_header h;

  if (!header_read (line, &h))
    return check_fail (check, MQ_RESPONSE_HEADER);
  if (mq_http_header_is (&h, "Content-Length")
      && !check_length (check, h.value))
    return false;
  if (mq_http_header_is (&h, "Transfer-Encoding")
      && !check_coding (check, h.value))
    return false;
  if (check_is_single (check, &h) && !check_single (check, &h))
    return false;
  g_string_append_len (check->head, line.data, (gssize)line.size);
  return true;
}

/* ---- The end of the head.  */

static bool
check_has_no_body (const mq_response_check *check)
{
  return check->has_no_body || check->status == STATUS_NO_CONTENT
         || check->status == STATUS_NOT_MODIFIED;
}

static bool
check_framing (mq_response_check *check)
{
  if (check->has_length && check->has_coding)
    return check_fail (check, MQ_RESPONSE_BAD_CODING);
  if (check->has_coding
      && mq_span_starts_with (check_head (check), MQ_SPAN ("HTTP/1.0")))
    return check_fail (check, MQ_RESPONSE_BAD_CODING);
  if (check->status == STATUS_NO_CONTENT && check->has_length
      && check->length > 0)
    return check_fail (check, MQ_RESPONSE_BAD_LENGTH);
  if (check_has_no_body (check))
    check->framing = MQ_RESPONSE_NO_BODY;
  else if (check->has_length)
    check->framing = MQ_RESPONSE_LENGTH;
  else if (check->has_coding)
    check->framing = MQ_RESPONSE_CHUNKED;
  else
    check->framing = MQ_RESPONSE_TO_CLOSE;
  return true;
}

static bool
check_echo (mq_response_check *check)
{
  if (check->echo_name == NULL
      || mq_span_equal (mq_response_head_find (check_head (check),
                                               mq_str_cstr (check->echo_name)),
                        mq_str_span (check->echo_value)))
    return true;
  return check_fail (check, MQ_RESPONSE_FOREIGN);
}

static bool
check_not_run (mq_response_check *check)
{
  if (check->not_run == NULL || mq_response_status_rejects (check->status)
      || mq_response_head_find (check_head (check), check->not_run).data
             == NULL)
    return true;
  return check_fail (check, MQ_RESPONSE_DENIES_RUN);
}

/* The empty line: the head is complete.  */
static bool
check_head_end (mq_response_check *check)
{
  if (check->status < MIN_FINAL_STATUS)
    {
      g_string_truncate (check->head, 0);
      check->status = 0;
      check->has_length = false;
      check->has_coding = false;
      return true;
    }
  if (!check_echo (check) || !check_not_run (check) || !check_framing (check))
    {
      check->framing = MQ_RESPONSE_NO_HEAD;
      return false;
    }
  g_string_append (check->head, "\r\n");
  return true;
}

static bool
check_trailer (mq_response_check *check, mq_span line)
{
  mq_http_header h;

  check->trailer_bytes += line.size;
  if (check->trailer_bytes > MAX_HEAD_BYTES
      || (line_text (line).size > 0 && !header_read (line, &h)))
    return check_fail (check, MQ_RESPONSE_HEADER);
  return true;
}

bool
mq_response_check_line (mq_response_check *check, mq_span line)
{
  if (check->fault != MQ_RESPONSE_SOUND)
    return false;
  if (check->framing != MQ_RESPONSE_NO_HEAD)
    return check_trailer (check, line);
  if (check->head->len + line.size > MAX_HEAD_BYTES)
    return check_fail (check, MQ_RESPONSE_HEADER);
  if (line.size == 0 || line.data[line.size - 1] != '\n')
    return check_fail (check, MQ_RESPONSE_HEAD_CUT);
  if (line_has_inner_head (line))
    return check_fail (check, MQ_RESPONSE_STATUS_LINE);
  if (check->status == 0)
    return check_status_line (check, line);
  if (line_text (line).size == 0)
    return check_head_end (check);
  return check_header (check, line);
}

/* ---- The body.  */

/* Takes DIGIT of the size of a chunk.  Returns false if it is too long.  */
static bool
chunk_add_digit (mq_response_check *check, char digit)
{
  check->chunk_left
      = check->chunk_left * 16 + (uint64_t)g_ascii_xdigit_value (digit);
  check->chunk_state = MQ_CHUNK_DIGITS;
  return ++check->chunk_digits <= MAX_CHUNK_DIGITS;
}

/* Takes C, which follows the digits of a size.  */
static bool
chunk_end_digits (mq_response_check *check, char c)
{
  switch (c)
    {
    case '\r':
      check->chunk_state = MQ_CHUNK_SIZE_END;
      return true;
    case ';':
      check->chunk_state = MQ_CHUNK_EXTENSION;
      return true;
    case ' ':
    case '\t':
      check->chunk_state = MQ_CHUNK_SPACE;
      return true;
    default:
      return false;
    }
}

/* Go on to NEXT if C is EXPECTED.  */
static bool
chunk_expect (mq_response_check *check, char c, char expected,
              mq_chunk_state next)
{
  check->chunk_state = next;
  return c == expected;
}

/* Takes C, which is not data.  Returns false if it is malformed.  */
static bool
chunk_take (mq_response_check *check, char c)
{
  switch (check->chunk_state)
    {
    case MQ_CHUNK_SIZE:
      check->chunk_left = 0;
      check->chunk_digits = 0;
      return g_ascii_isxdigit (c) && chunk_add_digit (check, c);
    case MQ_CHUNK_DIGITS:
      return g_ascii_isxdigit (c) ? chunk_add_digit (check, c)
                                  : chunk_end_digits (check, c);
    case MQ_CHUNK_SPACE:
      return chunk_end_digits (check, c)
             && ++check->extension_bytes <= MAX_EXTENSION_BYTES;
    case MQ_CHUNK_EXTENSION:
      if (c == '\r')
        check->chunk_state = MQ_CHUNK_SIZE_END;
      return c != '\n' && c != '\0'
             && ++check->extension_bytes <= MAX_EXTENSION_BYTES;
    case MQ_CHUNK_SIZE_END:
      return chunk_expect (check, c, '\n',
                           check->chunk_left > 0 ? MQ_CHUNK_DATA
                                                 : MQ_CHUNK_TRAILER);
    case MQ_CHUNK_DATA_CR:
      return chunk_expect (check, c, '\r', MQ_CHUNK_DATA_LF);
    case MQ_CHUNK_DATA_LF:
      return chunk_expect (check, c, '\n', MQ_CHUNK_SIZE);
    case MQ_CHUNK_TRAILER:
      check->chunk_state
          = c == '\r' ? MQ_CHUNK_LAST_LF : MQ_CHUNK_TRAILER_LINE;
      return c != '\n' && c != '\0';
    case MQ_CHUNK_TRAILER_LINE:
      if (c == '\n')
        check->chunk_state = MQ_CHUNK_TRAILER;
      return c != '\0';
    case MQ_CHUNK_LAST_LF:
      return chunk_expect (check, c, '\n', MQ_CHUNK_END);
    case MQ_CHUNK_DATA:
    case MQ_CHUNK_END:
      break;
    }
  return false;
}

/* Takes as many of BYTES as are data of the present chunk.  Returns their
   number.  */
static size_t
chunk_take_data (mq_response_check *check, mq_span bytes)
{
  size_t n = (size_t)MIN (check->chunk_left, (uint64_t)bytes.size);

  check->chunk_left -= n;
  if (check->chunk_left == 0)
    check->chunk_state = MQ_CHUNK_DATA_CR;
  return n;
}

bool
mq_response_check_chunks (mq_response_check *check, mq_span bytes)
{
  size_t at = 0;

  if (check->fault != MQ_RESPONSE_SOUND)
    return false;
  while (at < bytes.size)
    {
      if (check->chunk_state == MQ_CHUNK_END)
        {
          check->has_excess = true;
          return true;
        }
      if (check->chunk_state == MQ_CHUNK_DATA)
        at += chunk_take_data (check,
                               (mq_span){ bytes.data + at, bytes.size - at });
      else if (!chunk_take (check, bytes.data[at++]))
        return check_fail (check, MQ_RESPONSE_BAD_CHUNK);
    }
  return true;
}

void
mq_response_check_count_body (mq_response_check *check, size_t n)
{
  check->body_bytes += n;
}

mq_response_fault
mq_response_check_end (mq_response_check *check, bool in_order)
{
  if (check->fault != MQ_RESPONSE_SOUND)
    return check->fault;
  switch (check->framing)
    {
    case MQ_RESPONSE_NO_HEAD:
    case MQ_RESPONSE_FRAMINGS:
      check->fault = MQ_RESPONSE_HEAD_CUT;
      break;
    case MQ_RESPONSE_LENGTH:
      if (check->body_bytes != check->length)
        check->fault = MQ_RESPONSE_BODY_CUT;
      break;
    case MQ_RESPONSE_CHUNKED:
      if (check->chunk_state != MQ_CHUNK_END)
        check->fault = MQ_RESPONSE_BODY_CUT;
      break;
    case MQ_RESPONSE_TO_CLOSE:
      if (!in_order)
        check->fault = MQ_RESPONSE_BODY_CUT;
      break;
    case MQ_RESPONSE_NO_BODY:
      break;
    }
  return check->fault;
}

/* ---- The rest.  */

bool
mq_response_status_rejects (unsigned status)
{
  return (status >= STATUS_CLIENT_ERROR && status < STATUS_SERVER_ERROR)
         || status == STATUS_UNAVAILABLE;
}

bool
mq_response_check_has_head (const mq_response_check *check)
{
  return check->framing != MQ_RESPONSE_NO_HEAD;
}

const char *
mq_response_fault_name (mq_response_fault fault)
{
  static const char *const names[]
      = { "none",       "head-cut", "status-line", "header",
          "length",     "coding",   "ambiguous",   "foreign",
          "denies-run", "chunk",    "body-cut" };

  G_STATIC_ASSERT (G_N_ELEMENTS (names) == MQ_RESPONSE_FAULTS);
  return names[fault];
}

const char *
mq_response_framing_name (mq_response_framing framing)
{
  static const char *const names[]
      = { "none", "no-body", "length", "chunked", "to-close" };

  G_STATIC_ASSERT (G_N_ELEMENTS (names) == MQ_RESPONSE_FRAMINGS);
  return names[framing];
}

void
mq_response_check_init (mq_response_check *check,
                        const mq_response_rules *rules)
{
  memset (check, 0, sizeof *check);
  if (rules->echo_name.size > 0)
    {
      check->echo_name = mq_str_new (rules->echo_name);
      check->echo_value = mq_str_new (rules->echo_value);
    }
  check->single = rules->single;
  check->not_run = rules->not_run;
  check->has_no_body = rules->has_no_body;
  check->head = g_string_new (NULL);
}

void
mq_response_check_finish (mq_response_check *check)
{
  mq_str_unref (check->echo_name);
  mq_str_unref (check->echo_value);
  g_string_free (check->head, TRUE);
}
