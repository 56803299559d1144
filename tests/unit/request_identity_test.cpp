/** @file request_identity_test.cpp Recognizing copies of a request. */
// Labels: quarantine routes

#include "forwarding/request_identity_func.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace jacinthpond;

namespace {

const WorkspaceName Huts{"huts"};
const RequestContent Report{"POST", "h.example", "/write/1?a=b", {"body"}};

std::string identityOf(const RequestContent &Content,
                       const WorkspaceName &Owner = Huts) {
  return routeFingerprint(Owner, Content).Value;
}

} // namespace

// Guards against copies that pass as other requests.
BOOST_AUTO_TEST_CASE(CopiesAreTheSameRequest) {
  RequestContent Copy = Report;
  BOOST_TEST(identityOf(Copy) == identityOf(Report));
  for (const char *Host : {"H.Example", "h.example:8080", " h.example "}) {
    Copy.Host = Host;
    BOOST_TEST(identityOf(Copy) == identityOf(Report), Host);
  }
}

// Guards against requests that are refused for what another one did.
BOOST_AUTO_TEST_CASE(AnyOtherByteIsAnotherRequest) {
  const std::string Long(1 << 20, 'x');
  std::string Other = Long;
  Other.back() = 'y';
  const std::string Own = identityOf(Report);
  BOOST_TEST(identityOf({"PUT", "h.example", "/write/1?a=b", {"body"}}) != Own);
  BOOST_TEST(identityOf({"POST", "i.example", "/write/1?a=b", {"body"}}) !=
             Own);
  BOOST_TEST(identityOf({"POST", "h.example", "/write/1?a=c", {"body"}}) !=
             Own);
  BOOST_TEST(identityOf({"POST", "h.example", "/write/1?a=b", {"bodz"}}) !=
             Own);
  BOOST_TEST(identityOf({"POST", "h.example", "/write/1?a=b", {""}}) != Own);
  BOOST_TEST(identityOf(Report, WorkspaceName{"clubs"}) != Own);
  BOOST_TEST(identityOf({"POST", "h.example", "/w", {Long}}) !=
             identityOf({"POST", "h.example", "/w", {Other}}));
}

// Guards against copies that pass as others since their bytes came otherwise.
BOOST_AUTO_TEST_CASE(APartedBodyIsTheSame) {
  BOOST_TEST(identityOf({"POST", "h", "/w", {"one", "two"}}) ==
             identityOf({"POST", "h", "/w", {"onet", "", "wo"}}));
  BOOST_TEST(identityOf({"POST", "h", "/w", {}}) ==
             identityOf({"POST", "h", "/w", {""}}));
}

// Guards against callers that move bytes from one field to the next.
BOOST_AUTO_TEST_CASE(FieldsDoNotRunTogether) {
  BOOST_TEST(identityOf({"GET", "h", "/ab", {"c"}}) !=
             identityOf({"GET", "h", "/a", {"bc"}}));
  BOOST_TEST(identityOf({"GET", "h", "/1/a", {""}}) !=
             identityOf({"GET", "h", "/", {"1/a"}}));
}

// Guards against a part that passes as another one, or as the part of another
// model.
BOOST_AUTO_TEST_CASE(PartsAreToldApartByModelAndId) {
  const std::string Own =
      partFingerprint(ModelName{"trail"}, PartId{"5c1e"}).Value;
  BOOST_TEST(partFingerprint(ModelName{"trail"}, PartId{"5c1f"}).Value != Own);
  BOOST_TEST(partFingerprint(ModelName{"trai"}, PartId{"l5c1e"}).Value != Own);
  BOOST_TEST(partFingerprint(ModelName{}, PartId{"5c1e"}).Value != Own);
}
