/* What an engine of the soak answers to a request: the bytes, when they are
   sent, and how the connection ends.  Pure: drawn from a generator.  */

#ifndef MQ_SOAK_ANSWER_H
#define MQ_SOAK_ANSWER_H

#include "message.h"

namespace soak
{

struct Step
{
  double delay_s; /* After the step before it.  */
  std::string bytes;
};

struct Answer
{
  enum class End
  {
    Keep,
    Close, /* In order.  */
    Reset
  };

  Run run;
  std::vector<Step> steps;
  End end = End::Keep;
  double end_delay_s = 0;
};

/* How often engines of a seed fail, and how.  */
class Faults
{
public:
  explicit Faults (uint64_t seed);

  /* The name of the answer that is given next, "whole" for a sound one.  */
  std::string draw (Random &random) const;
  /* The share of answers with a fault, and the weight of each.  */
  std::string text () const;

private:
  double share_;
  std::vector<double> weights_;
};

/* Complete RUN, of which the engine has filled in what it received and who it
   is, and plan the answer named by its plan.  IS_STREAM: the route's.  */
Answer plan_answer (Run run, bool is_stream, uint64_t seed, Random &random);

} // namespace soak

#endif
