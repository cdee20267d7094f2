#include "api/error_body.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace jujubecove {

RenderedAnswer RenderError(ErrorKind kind,
                           Execution execution,
                           const std::string& detail) {
  boost::json::object body;
  body["status"] = NameOf(kind);
  body["execution"] = NameOf(execution);
  body["detail"] = detail;
  return RenderedAnswer{AnswerOf(kind).http_status,
                        boost::json::serialize(body)};
}

Execution ExecutionOfRejection(ErrorKind kind, TicketPresence presence) {
  if (presence != TicketPresence::kNoTicket)
    return Execution::kUnknown;
  return AnswerOf(kind).execution;
}

}  // namespace jujubecove
