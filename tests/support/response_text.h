/* Texts of responses of stand-ins that write the bytes themselves.  */

#ifndef MQ_TESTS_RESPONSE_TEXT_H
#define MQ_TESTS_RESPONSE_TEXT_H

#include <string>

namespace gateway
{

/* The id of REQUEST, a whole head; empty if it has none.  */
inline std::string
request_id (const std::string &request)
{
  const std::string name = "Marjoramquay-Attempt-Id: ";
  size_t at = request.find (name);

  if (at == std::string::npos)
    return "";
  at += name.size ();
  return request.substr (at, request.find ("\r\n", at) - at);
}

/* RESPONSE with the id of REQUEST in the place of "ID" at the end of a line,
   if both are there.  */
inline std::string
with_request_id (std::string response, const std::string &request)
{
  std::string id = request_id (request);
  size_t at = response.find ("ID\r\n");

  if (!id.empty () && at != std::string::npos)
    response.replace (at, 2, id);
  return response;
}

} // namespace gateway

#endif
