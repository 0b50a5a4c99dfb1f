#include <boost/test/unit_test.hpp>
#include <random>

#include "core/job_step.h"
#include "core/worker_description.h"
#include "records/member_record.h"
#include "wire/flex_encoding.h"
#include "wire/frame_header.h"
#include "wire/json_encoding.h"
#include "wire/kvs_record_codec.h"
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

// A job record of the releases that did not store the queue.
class RecordWithoutQueue {
 public:
  static constexpr std::string_view kName = "job-record";

  RecordWithoutQueue() = default;
  RecordWithoutQueue(Shared<JobDefinition> definition, std::int64_t accepted_ms)
      : definition_(std::move(definition)), accepted_ms_(accepted_ms) {}

  friend auto operator<=>(const RecordWithoutQueue&,
                          const RecordWithoutQueue&) = default;

 private:
  QUETZALLINE_VALUE(RecordWithoutQueue, definition_, accepted_ms_)

  Shared<JobDefinition> definition_;
  std::int64_t accepted_ms_ = 0;
};

// Returns a job whose steps depend on all earlier ones.
JobDefinition MakeDefinition(std::int32_t count) {
  std::vector<JobStep> steps;
  std::vector<std::int32_t> earlier;
  for (std::int32_t number = 0; number < count; ++number) {
    steps.push_back(JobStep::Builder().count(1).after(earlier).Build());
    earlier.push_back(number);
  }
  return JobDefinition::Builder()
      .queue("queue")
      .spec(std::string(4000, 's'))
      .steps(std::move(steps))
      .Build();
}

JobQueue MakeQueue() {
  return JobQueue::Builder()
      .name("queue")
      .host("jobs.example")
      .prefix("/jobs/")
      .service(ServiceName("service"))
      .priority(3)
      .max_attempts(4)
      .stretch(1.5)
      .objective(std::chrono::seconds(20))
      .Build();
}

// Returns the bytes of the value that `write` adds to a builder.
template <typename Write>
std::string Encode(Write write) {
  flexbuffers::Builder builder;
  write(builder);
  builder.Finish();
  return {builder.GetBuffer().begin(), builder.GetBuffer().end()};
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

BOOST_AUTO_TEST_CASE(a_job_record_survives_encoding) {
  const JobRecord record = JobRecord::Builder()
                               .definition(MakeDefinition(2))
                               .accepted_ms(7)
                               .queue(MakeQueue())
                               .Build();
  const auto decoded = DecodeKvsRecord(EncodeKvsRecord(record));
  BOOST_REQUIRE(decoded);
  BOOST_TEST((std::get<JobRecord>(*decoded) == record));
}

BOOST_AUTO_TEST_CASE(a_job_record_without_a_queue_is_decoded) {
  using Earlier = std::variant<RecordWithoutQueue>;
  const Earlier earlier = RecordWithoutQueue(MakeDefinition(2), 7);
  const auto decoded = DecodeKvsRecord(FlexEncoder::Encode(earlier));
  BOOST_REQUIRE(decoded);
  BOOST_TEST(
      (std::get<JobRecord>(*decoded) == JobRecord::Builder()
                                            .definition(MakeDefinition(2))
                                            .accepted_ms(7)
                                            .Build()));
}

BOOST_AUTO_TEST_CASE(an_earlier_release_decodes_a_job_record_with_a_queue) {
  using Earlier = std::variant<RecordWithoutQueue>;
  const std::string bytes = EncodeKvsRecord(JobRecord::Builder()
                                                .definition(MakeDefinition(2))
                                                .accepted_ms(7)
                                                .queue(MakeQueue())
                                                .Build());
  const auto decoded = FlexDecoder::Decode<Earlier>(bytes);
  BOOST_REQUIRE(decoded);
  BOOST_TEST((std::get<RecordWithoutQueue>(*decoded) ==
              RecordWithoutQueue(MakeDefinition(2), 7)));
}

// The store accepts values of up to a megabyte, and a job has up to 256 steps.
BOOST_AUTO_TEST_CASE(a_stored_job_is_far_smaller_than_the_store_allows) {
  using Earlier = std::variant<RecordWithoutQueue>;
  const Earlier earlier = RecordWithoutQueue(MakeDefinition(256), 7);
  const std::size_t without = FlexEncoder::Encode(earlier).size();
  const std::size_t with = EncodeKvsRecord(JobRecord::Builder()
                                               .definition(MakeDefinition(256))
                                               .accepted_ms(7)
                                               .queue(MakeQueue())
                                               .Build())
                               .size();
  BOOST_TEST_MESSAGE("bytes: " << with << ", without a queue: " << without);
  BOOST_TEST(with < (std::size_t{1} << 20) / 4);
  BOOST_TEST(with < without + 500);
}

// Cut to its lowest bits, such a number would pass for another one.
BOOST_AUTO_TEST_CASE(a_number_that_does_not_fit_its_member_is_refused) {
  // The members are a role, an address and an unsigned incarnation.
  const auto member = [](auto write_role, auto write_incarnation) {
    return FlexDecoder::Decode<MemberRecord>(Encode([&](auto& builder) {
      builder.Vector([&] {
        write_role(builder);
        builder.String("127.0.0.1:7000");
        write_incarnation(builder);
      });
    }));
  };
  const auto integer = [](std::int64_t value) {
    return [value](auto& builder) { builder.Int(value); };
  };
  const auto natural = [](std::uint64_t value) {
    return [value](auto& builder) { builder.UInt(value); };
  };
  BOOST_TEST(member(natural(0), natural(UINT64_MAX)).has_value());
  BOOST_TEST(member(integer(0), integer(5)).has_value());
  BOOST_TEST(!member(natural(0), integer(-1)).has_value());
  for (const std::uint64_t role :
       {std::uint64_t{255}, std::uint64_t{256}, std::uint64_t{1} << 32}) {
    BOOST_TEST(!member(natural(role), natural(1)).has_value());
  }
  BOOST_TEST(!member(integer(-1), natural(1)).has_value());
  // The members are a 32-bit count and the milli-cores of each task.
  const auto step = [](auto write_count, auto write_cpu) {
    return FlexDecoder::Decode<JobStep>(Encode([&](auto& builder) {
      builder.Vector([&] {
        write_count(builder);
        write_cpu(builder);
      });
    }));
  };
  BOOST_TEST(step(integer(INT32_MIN), integer(INT64_MIN)).has_value());
  BOOST_TEST(step(natural(INT32_MAX), natural(INT64_MAX)).has_value());
  for (const std::int64_t count :
       {std::int64_t{INT32_MAX} + 1, std::int64_t{1} << 32 | 1, INT64_MIN}) {
    BOOST_TEST(!step(integer(count), integer(1)).has_value());
  }
  BOOST_TEST(!step(natural(UINT64_MAX), integer(1)).has_value());
  BOOST_TEST(!step(integer(1), natural(UINT64_MAX)).has_value());
}

// Elements may refer to bytes that others refer to as well, so that few bytes
// would decode to any amount of memory.
BOOST_AUTO_TEST_CASE(a_value_that_is_larger_than_its_bytes_is_refused) {
  const auto labels = [](std::size_t text, std::size_t count, bool shared) {
    const std::string bytes = Encode([&](auto& builder) {
      builder.Vector([&] {
        builder.String("");
        builder.Int(0);
        for (int i = 0; i < 2; ++i) builder.String("");
        for (int i = 0; i < 3; ++i) builder.Int(0);
        builder.Vector([&] {
          builder.String(std::string(text, 'x'));
          const auto first = builder.LastValue();
          for (std::size_t i = 1; i < count; ++i) {
            if (shared) {
              builder.ReuseValue(first);
            } else {
              builder.String(std::string(text, 'x'));
            }
          }
        });
      });
    });
    return FlexDecoder::Decode<WorkerDescription>(bytes);
  };
  const auto plain = labels(100, 50, false);
  BOOST_REQUIRE(plain.has_value());
  BOOST_TEST(plain->labels().size() == 50U);
  BOOST_TEST(labels(0, 1000, false).has_value());
  BOOST_TEST(!labels(20'000, 2'000, true).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
