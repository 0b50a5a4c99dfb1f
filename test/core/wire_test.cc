#include <boost/test/unit_test.hpp>
#include <random>

#include "wire/flex_encoding.h"
#include "wire/frame_header.h"
#include "wire/json_encoding.h"
#include "wire/message_codec.h"
#include "wire/record_codec.h"

namespace quetzalline {
namespace {

EntryMessage MakeSubmit() {
  const AttemptId id =
      AttemptId::Builder()
          .request(RequestId::Builder().origin(7).sequence(9).Build())
          .number(2)
          .Build();
  return Submit::Builder()
      .attempt(id)
      .service(ServiceName("listings"))
      .caller(CallerName("canteen"))
      .request(HttpRequest::Builder()
                   .method("POST")
                   .target("/listings/reservations")
                   .headers({Header::Builder().name("A").value("b").Build()})
                   .body(Body(std::string("\0binary\xff", 8)))
                   .Build())
      .lease(std::chrono::milliseconds(1500))
      .urgent(true)
      .key("k")
      .Build();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(wire)

BOOST_AUTO_TEST_CASE(a_message_survives_framing) {
  const EntryMessage message = MakeSubmit();
  const std::string payload = EncodeMessage(message);
  BOOST_TEST((DecodeEntryMessage(payload) == message));
  const std::string frame = MakeFrame(payload);
  BOOST_TEST(*ParseFrameHeader(frame) == payload.size());
}

BOOST_AUTO_TEST_CASE(a_header_of_another_protocol_is_refused) {
  BOOST_TEST(!ParseFrameHeader("GET / HTTP/1.1\r\n"));
  BOOST_TEST(!ParseFrameHeader("QZ"));
  BOOST_TEST(!ParseFrameHeader(std::string("QZ\1\0\xff\xff\xff\xff", 8)));
}

BOOST_AUTO_TEST_CASE(damaged_payloads_decode_to_nothing_or_to_a_message) {
  const std::string payload = EncodeMessage(MakeSubmit());
  std::mt19937 random(1);
  int refused = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string damaged = payload.substr(0, random() % (payload.size() + 1));
    const int changes = static_cast<int>(random() % 4);
    for (int change = 0; change < changes && !damaged.empty(); ++change) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    if (!DecodeEntryMessage(damaged)) ++refused;
  }
  BOOST_TEST(refused > 10000);
}

BOOST_AUTO_TEST_CASE(a_store_record_survives_encoding) {
  const StoreRecord record =
      JournalEntry::Builder()
          .sequence(4)
          .epoch(2)
          .nonce(18446744073709551615ULL)
          .records({TaskAccepted::Builder()
                        .id(TaskId("a/1"))
                        .job(JobId("a"))
                        .work(TaskTemplate::Builder()
                                  .name("w")
                                  .workload(WatcherWorkload::Builder()
                                                .subject("lots/31")
                                                .Build())
                                  .Build())
                        .Build()})
          .Build();
  BOOST_TEST((DecodeRecord(EncodeRecord(record)) == record));
}

BOOST_AUTO_TEST_CASE(json_errors_name_the_field) {
  JsonDecoder decoder;
  BOOST_TEST(!decoder.DecodeText<ServiceFile>(
      R"({"name":"a","route":{"deadline_us":"soon"}})"));
  BOOST_TEST(decoder.last_reason() == "route: deadline_us: expected a number");
  JsonDecoder other;
  BOOST_TEST(!other.DecodeText<ServiceFile>(R"({"nmae":"a"})"));
  BOOST_TEST(other.last_reason() == "unknown key in service-file");
}

BOOST_AUTO_TEST_CASE(a_newer_peer_may_add_members) {
  flexbuffers::Builder builder;
  builder.Vector([&] {
    builder.UInt(1);
    builder.Vector([&] {
      builder.UInt(5);
      builder.UInt(6);
      builder.String("from a later release");
    });
  });
  builder.Finish();
  const std::string bytes(builder.GetBuffer().begin(),
                          builder.GetBuffer().end());
  using Newer = std::variant<Done, RequestId>;
  const auto decoded = FlexDecoder::Decode<Newer>(bytes);
  BOOST_REQUIRE(decoded);
  BOOST_TEST(std::get<RequestId>(*decoded).sequence() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
