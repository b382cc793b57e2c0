/* Entries of upstreams in the platform's list, as they write them.  */

#ifndef MQ_TESTS_ENTRY_TEXT_H
#define MQ_TESTS_ENTRY_TEXT_H

#include <string>

namespace gateway
{

/* The members that every upstream states beside its own.  */
inline const std::string entry_common
    = ",\"version\":\"v1\",\"coldRemainingMs\":0,\"sequence\":1";

/* The members that a model engine with CARD states, which holds the layers
   [FIRST, END); null if there are none.  */
inline std::string
engine_members (const std::string &card, unsigned first, unsigned end)
{
  std::string layers = "null";

  if (first != end)
    layers = "{\"from\":" + std::to_string (first)
             + ",\"target\":" + std::to_string (end) + ",\"version\":1}";
  return ",\"stage\":\"both\",\"models\":[],\"kind\":\"" + card
         + "\",\"layers\":" + layers;
}

} // namespace gateway

#endif
