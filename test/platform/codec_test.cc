#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "adapters/base64_text.h"
#include "adapters/json_log.h"
#include "configuration_codec.h"
#include "job_codec.h"
#include "json_fields.h"
#include "kv_codec.h"
#include "systems/gateway/validate_job.h"
#include "wire/kvs_record_codec.h"
#include "worker_codec.h"

namespace quetzalline {
namespace {

std::string ErrorOf(const std::string& body) {
  return ValidateJob(ParseSubmit(body)).value_or("");
}

HttpResponse Response(int status, const std::string& body) {
  return HttpResponse::Builder().status(status).body(Body(body)).Build();
}

// The time at which the test's workers announce themselves.
constexpr std::int64_t kNowMs = 1'800'000'000'000;

bool Announced(const std::string& body) {
  return ParseAnnouncement("i-1", body, kNowMs).has_value();
}

// Values that end the parser at its limits or as malformed text.
std::vector<std::string> UnparsableValues() {
  constexpr int kLevels = 200'000;
  std::string arrays(kLevels, '[');
  arrays.append(kLevels, ']');
  std::string objects;
  for (int i = 0; i < kLevels; ++i) objects += R"({"[":)";
  objects += "1";
  objects.append(kLevels, '}');
  return {arrays,
          objects,
          "1e99999999999999999999",
          "[-1E+99999999999999999999]",
          "\"\xff\"",
          R"({"running":[["]\\\"",)" + arrays + "]]}"};
}

// Returns true if an item with this value is read with its record.
bool HasRecord(const std::string& key, const KvsRecord& record) {
  const std::string commit = EncodeCommit(
      KvsCommit::Builder()
          .puts({KvsPut::Builder().key(key).record(record).Build()})
          .Build());
  const auto object = ParseJsonObject(commit);
  const auto items = ParseItemResponse(
      boost::json::serialize(object->at("writes").get_array().front()));
  return items && items->items().front().record().has_value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(codecs)

BOOST_AUTO_TEST_CASE(a_valid_job_is_parsed) {
  const SubmitCall call = ParseSubmit(
      R"({"spec":"s","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
      R"("estimate_ms":900,"affinity":"r1-3"},{"count":2,"cpu":7000,)"
      R"("after":[0],"fills":true,"image":"i","target_ms":0}]})");
  BOOST_REQUIRE(call.definition().has_value());
  BOOST_TEST(!ValidateJob(call).has_value());
  const JobDefinition& job = **call.definition();
  BOOST_REQUIRE(job.steps().size() == 2U);
  BOOST_TEST(job.steps()[0].data_rack() == "r1-3");
  BOOST_TEST(job.steps()[0].memory_mb() == 256);
  BOOST_TEST(job.steps()[1].fills());
  BOOST_TEST(job.steps()[1].after().front() == 0);
}

BOOST_AUTO_TEST_CASE(the_error_of_an_invalid_job_names_the_field) {
  BOOST_TEST(ErrorOf("") == "expected a JSON object");
  BOOST_TEST(ErrorOf("[1]") == "expected a JSON object");
  BOOST_TEST(ErrorOf("{\"steps\":[") == "expected a JSON object");
  BOOST_TEST(ErrorOf("{}") == "steps: expected one or more");
  BOOST_TEST(ErrorOf(R"({"spec":5,"steps":[{"count":1}]})") ==
             "spec: expected a string");
  BOOST_TEST(ErrorOf(R"({"steps":[7]})") == "steps[0]: expected an object");
  BOOST_TEST(ErrorOf(R"({"steps":[{"count":"4"}]})") ==
             "steps[0].count: expected a whole number");
  BOOST_TEST(ErrorOf(R"({"steps":[{"count":1.5}]})") ==
             "steps[0].count: expected a whole number");
  BOOST_TEST(ErrorOf(R"({"steps":[{"count":0}]})") ==
             "steps[0].count: expected 1 or more");
  BOOST_TEST(ErrorOf(R"({"steps":[{"count":1,"cpu":-5}]})") ==
             "steps[0].cpu: out of range");
  BOOST_TEST(ErrorOf(R"({"steps":[{"count":900000}]})") ==
             "steps: too many tasks");
}

BOOST_AUTO_TEST_CASE(a_step_follows_earlier_steps_only) {
  const std::string fault =
      "steps[0].after: expected the numbers of earlier steps";
  BOOST_TEST(ErrorOf(R"({"steps":[{"count":1,"after":[0]}]})") == fault);
  BOOST_TEST(ErrorOf(R"({"steps":[{"count":1,"after":[1]},)"
                     R"({"count":1,"after":[0]}]})") == fault);
  BOOST_TEST(ErrorOf(R"({"steps":[{"count":1,"after":[-1]}]})") == fault);
}

// Beyond these limits, sums of times overflow.
BOOST_AUTO_TEST_CASE(jobs_with_odd_numbers_are_rejected) {
  const auto step = [](const std::string& fields) {
    return ErrorOf(R"({"steps":[{"count":1,)" + fields + "}]}");
  };
  const auto job = [](const std::string& fields) {
    return ErrorOf(R"({"steps":[{"count":1}],)" + fields + "}");
  };
  const std::string year_ms = "31536000000";
  BOOST_TEST(step(R"("estimate_ms":)" + year_ms) == "");
  BOOST_TEST(job(R"("start_ms":1800000000000,"interval_ms":)" + year_ms) == "");
  for (const std::string number :
       {"-1", "9223372036854775807", "9223372036854776", "31536000001"}) {
    BOOST_TEST_CONTEXT(number) {
      for (const std::string name : {"estimate_ms", "target_ms"}) {
        BOOST_TEST(step("\"" + name + "\":" + number) ==
                   "steps[0]." + name + ": out of range");
      }
      BOOST_TEST(job(R"("interval_ms":)" + number) ==
                 "interval_ms: out of range");
    }
  }
  for (const std::string number : {"-1", "9223372036854775807", "1e15"}) {
    BOOST_TEST(job(R"("start_ms":)" + number) == "start_ms: out of range");
    for (const std::string name : {"cpu", "mem_mb", "gpu"}) {
      BOOST_TEST(step("\"" + name + "\":" + number) ==
                 "steps[0]." + name + ": out of range");
    }
  }
  for (const std::string number : {"1e400", "99999999999999999999", "0.5"}) {
    BOOST_TEST(step(R"("estimate_ms":)" + number) ==
               "steps[0].estimate_ms: expected a whole number");
    BOOST_TEST(job(R"("repeat_count":)" + number) ==
               "repeat_count: expected a whole number");
  }
  BOOST_TEST(job(R"("repeat_count":9223372036854775807)") ==
             "steps: too many tasks");
  BOOST_TEST(job(R"("repeat_count":-9223372036854775807)") ==
             "repeat_count: out of range");
}

BOOST_AUTO_TEST_CASE(odd_deadlines_are_none_or_limited) {
  BOOST_TEST((ParseDeadline("1500") == std::chrono::milliseconds(1500)));
  for (const char* odd : {"", "0", "-1", "1.5", "1e3", " 1", "1 ", "x",
                          "9223372036854775808", "99999999999999999999"}) {
    BOOST_TEST_CONTEXT(odd) { BOOST_TEST((ParseDeadline(odd) == Duration())); }
  }
  for (const char* late : {"31536000001", "9223372036854776",
                           "18446744073709552", "9223372036854775807"}) {
    BOOST_TEST_CONTEXT(late) {
      BOOST_TEST(
          (ParseDeadline(late) == std::chrono::hours(std::int64_t{365} * 24)));
    }
  }
}

BOOST_AUTO_TEST_CASE(routes_with_odd_numbers_are_skipped) {
  const auto routes = [](const std::string& fields) {
    const auto configuration = ParseConfiguration(
        R"({"version":3,"routes":[{"name":"q"},{"name":"odd",)" + fields +
        "}]}");
    return configuration ? configuration->queues().size() : 0;
  };
  BOOST_TEST(routes(R"("priority":2,"max_attempts":4,"stretch":1.5,)"
                    R"("slo_ms":5000)") == 2U);
  for (const std::string name : {"priority", "max_attempts", "slo_ms"}) {
    for (const std::string number :
         {"4294967297", "9223372036854775807", "1e400", "0.5"}) {
      const bool time = name == "slo_ms" && number == "4294967297";
      BOOST_TEST_CONTEXT(name << " " << number) {
        BOOST_TEST(routes("\"" + name + "\":" + number) == (time ? 2U : 1U));
      }
    }
  }
  for (const std::string number : {"1e400", "-1", "1e300"}) {
    BOOST_TEST(routes(R"("stretch":)" + number) == 1U);
  }
  for (const std::string number : {"9223372036854775807", "-1", "0", "1e400"}) {
    BOOST_TEST(!ParseConfiguration(R"({"routes":[],"version":)" + number + "}")
                    .has_value());
  }
}

BOOST_AUTO_TEST_CASE(task_ids_survive_encoding) {
  const TaskKey key = TaskKey::Builder()
                          .job(0x5c0e7a21d94b36f8)
                          .occurrence(2)
                          .step(1)
                          .index(17)
                          .Build();
  BOOST_TEST(FormatTaskId(key) == "5c0e7a21d94b36f8.2.1.17");
  BOOST_TEST((ParseTaskId(FormatTaskId(key)) == key));
  for (const char* bad :
       {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1",
        "5c0e7a21d94b36f8.0.1.x", "zz.0.1.2", "5c0e7a21d94b36f8.0.1.2.3"}) {
    BOOST_TEST(!ParseTaskId(bad).has_value());
  }
}

BOOST_AUTO_TEST_CASE(a_departure_names_its_incarnation) {
  const WorkerLeft left = ParseDeparture("i-1", R"({"born":5,"seq":4})");
  BOOST_TEST(left.worker() == "i-1");
  BOOST_TEST(left.born_ms() == 5);
  for (const char* odd : {"", "{}", "\xff\xfe", R"({"born":"5"})", "[5]"}) {
    BOOST_TEST(ParseDeparture("i-1", odd).born_ms() == 0);
  }
}

BOOST_AUTO_TEST_CASE(malformed_announcements_are_rejected) {
  const std::string good =
      R"({"service":"s","zone":"z","state":"ready","born":5,"seq":4,)"
      R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a"]})";
  const auto seen = ParseAnnouncement("i-1", good, kNowMs);
  BOOST_REQUIRE(seen.has_value());
  BOOST_TEST(seen->facts().cpu() == 16000);
  BOOST_TEST(!seen->facts().draining());
  for (const char* bad :
       {"", "{}", "\xff\xfe", R"({"service":"s","state":"ready"})",
        R"({"service":"s","state":"asleep","capacity":{"cpu":1}})",
        R"({"service":7,"state":"ready","capacity":{"cpu":1}})",
        R"({"service":"s","state":"ready","capacity":{"cpu":"many"}})"}) {
    BOOST_TEST(!ParseAnnouncement("i-1", bad, kNowMs).has_value());
  }
}

// Announcements are ordered by these numbers. One that is too large would make
// every later announcement of the worker count as old.
BOOST_AUTO_TEST_CASE(announcements_with_odd_numbers_are_rejected) {
  const auto body = [](const std::string& changed) {
    return R"({"service":"s","zone":"z","state":"ready",)" + changed + "}";
  };
  const std::string born = R"("born":)" + std::to_string(kNowMs - 60'000) + ",";
  const std::string capacity = R"("capacity":{"cpu":1,"mem_mb":1,"gpu":0})";
  BOOST_TEST(Announced(body(born + R"("seq":3,)" + capacity)));
  BOOST_TEST(Announced(body(capacity)));
  for (const std::string number :
       {"-1", "1.5", "1e400", "-1e400", "9223372036854775807",
        "9223372036854775808", "99999999999999999999", "4e15",
        "1e99999999999999999999", "\"7\"", "null", "[]"}) {
    BOOST_TEST_CONTEXT(number) {
      BOOST_TEST(!Announced(body(R"("born":)" + number + "," + capacity)));
      BOOST_TEST(
          !Announced(body(born + R"("seq":)" + number + "," + capacity)));
      for (const std::string name : {"cpu", "mem_mb", "gpu"}) {
        BOOST_TEST(!Announced(
            body(born + R"("capacity":{")" + name + R"(":)" + number + "}")));
      }
    }
  }
  // Plausible numbers, but not for a worker that started a minute ago.
  const std::int64_t month_ms = std::int64_t{30} * 24 * 3600 * 1000;
  BOOST_TEST(!Announced(
      body(R"("born":)" + std::to_string(kNowMs + month_ms) + "," + capacity)));
  BOOST_TEST(!Announced(
      body(born + R"("seq":)" + std::to_string(month_ms) + "," + capacity)));
}

BOOST_AUTO_TEST_CASE(odd_values_of_a_worker_list_are_limited) {
  const auto answer = [](const std::string& lists) {
    return ParseWorkerResponse(1, Response(200, "{" + lists + "}"));
  };
  const std::string task = R"("5c0e7a21d94b36f8.0.1.17")";
  for (const std::string number : {"0", "-1", "9223372036854775807", "1e400"}) {
    BOOST_TEST_CONTEXT(number) {
      BOOST_TEST(answer(R"("running":[[)" + task + "," + number + R"(,"",1]])")
                     .running()
                     .empty());
      BOOST_TEST(
          answer(R"("finished":[[)" + number + "," + task + R"(,1,"done",""]])")
              .ends()
              .empty());
    }
  }
  const auto run = [&](const std::string& number) {
    return answer(R"("running":[[)" + task + R"(,1,"",)" + number + "," +
                  number + "]]")
        .running()
        .at(0);
  };
  BOOST_TEST(run("41.7").progress().percent() == 41);
  BOOST_TEST(run("41.7").figure() == 41);
  for (const std::string number : {"-1e400", "-1", "\"x\"", "[]"}) {
    BOOST_TEST(run(number).progress().percent() == 0);
    BOOST_TEST(run(number).figure() == 0);
  }
  for (const std::string number : {"1e400", "4294967297", "1e19"}) {
    BOOST_TEST(run(number).progress().percent() == 100);
    BOOST_TEST(run(number).figure() >= 4294967297);
    BOOST_TEST(run(number).figure() <= std::int64_t{1} << 40);
  }
  BOOST_TEST(answer(R"("born":9223372036854775807)").born_ms() == 0);
  BOOST_TEST(answer(R"("clock_ms":9223372036854775807)").clock_ms() == 0);
  // Such an answer does not tell which runs the worker has.
  BOOST_TEST((answer(R"("running":7)").verdict() == WorkerCallOutcome::kLost));
  BOOST_TEST(
      (answer(R"("finished":{})").verdict() == WorkerCallOutcome::kLost));
}

BOOST_AUTO_TEST_CASE(malformed_rows_of_a_worker_list_are_skipped) {
  const WorkerAnswer answer = ParseWorkerResponse(
      3, Response(200,
                  R"({"clock_ms":482113,"born":9,"running":[)"
                  R"(["5c0e7a21d94b36f8.0.1.17",2,"c",41,25],["x",1,"",0],7],)"
                  R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
                  R"([59,"5c0e7a21d94b36f8.0.1.8",1,"melted",""]]})"));
  BOOST_TEST((answer.verdict() == WorkerCallOutcome::kDone));
  BOOST_TEST(answer.born_ms() == 9);
  BOOST_REQUIRE(answer.running().size() == 1U);
  BOOST_TEST(answer.running().front().figure() == 25);
  BOOST_REQUIRE(answer.ends().size() == 1U);
  BOOST_TEST(answer.ends().front().number() == 58);
}

// One element that cannot be parsed must not hide the other ones.
BOOST_AUTO_TEST_CASE(an_unparsable_element_of_a_list_hides_no_other) {
  const std::string run = R"(["5c0e7a21d94b36f8.0.1.17",2,"c",41,25])";
  const std::string item =
      R"({"key":"quetzalline/members/a","value":"","revision":4})";
  const std::string route = R"({"name":"q","prefix":"/q/"})";
  for (const std::string& odd : UnparsableValues()) {
    BOOST_TEST_CONTEXT(odd.substr(0, 40)) {
      const std::string behind = "," + odd + "]";
      const std::string before = "[" + odd + ",";
      const WorkerAnswer answer = ParseWorkerResponse(
          1, Response(200, R"({"running":)" + before + run + "]" +
                               R"(,"finished":[)" + odd + "]}"));
      BOOST_TEST((answer.verdict() == WorkerCallOutcome::kDone));
      BOOST_TEST(answer.running().size() == 1U);
      const auto page =
          ParseRangeResponse(R"({"has_more":true,"at_revision":9,"items":[)" +
                             item + behind + "}");
      BOOST_REQUIRE(page.has_value());
      BOOST_TEST(page->items_.items().size() == 1U);
      BOOST_TEST(page->last_key_ == "quetzalline/members/a");
      const auto changes = ParseWatchResponse(R"({"at_revision":9,"events":)" +
                                              before + item + "]}");
      BOOST_REQUIRE(changes.has_value());
      BOOST_TEST(changes->items().size() == 1U);
      const auto configuration = ParseConfiguration(
          R"({"version":3,"routes":[)" + route + behind + "}");
      BOOST_REQUIRE(configuration.has_value());
      BOOST_REQUIRE(!configuration->queues().empty());
      BOOST_TEST(configuration->queues().front().name() == "q");
      // These have one writer and name nobody, as a whole.
      BOOST_TEST(!ParseAnnouncement(
          "i-1", R"({"service":"s","odd":)" + odd + "}", kNowMs));
      BOOST_TEST(!ParseSubmit(R"({"steps":[{"count":1}],"odd":)" + odd + "}")
                      .definition()
                      .has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(refusals_of_a_worker_are_distinguished) {
  const auto verdict = [](int status, const std::string& body) {
    return ParseWorkerResponse(1, Response(status, body)).verdict();
  };
  BOOST_TEST(
      (verdict(409, R"({"reason":"fence"})") == WorkerCallOutcome::kFenced));
  BOOST_TEST((verdict(409, R"({"reason":"old"})") == WorkerCallOutcome::kOld));
  BOOST_TEST(
      (verdict(409, R"({"reason":"late"})") == WorkerCallOutcome::kLate));
  BOOST_TEST(
      (verdict(409, R"({"reason":"room"})") == WorkerCallOutcome::kNoRoom));
  BOOST_TEST((verdict(421, "") == WorkerCallOutcome::kOtherLife));
  BOOST_TEST((verdict(503, "") == WorkerCallOutcome::kUnhealthy));
  // A response of status 200 that cannot be parsed does not show whether the
  // command was executed.
  BOOST_TEST((verdict(200, "{") == WorkerCallOutcome::kLost));
}

BOOST_AUTO_TEST_CASE(an_undecodable_store_value_is_reported) {
  const auto items = ParseItemResponse(
      R"({"key":"quetzalline/jobs/5c0e7a21d94b36f8","value":"!!!!",)"
      R"("revision":4,"at_revision":9})");
  BOOST_REQUIRE(items.has_value());
  BOOST_TEST(!items->items().front().record().has_value());
  BOOST_TEST(!ParseItemResponse("{}").has_value());
  BOOST_TEST(!ParseWatchResponse(R"({"events":5})").has_value());
  BOOST_TEST(!ParseConfiguration(R"({"version":1})").has_value());
  BOOST_TEST(!ParseConfiguration(R"({"version":"1","routes":[]})").has_value());
}

// The decoder writes beyond its buffer if the length is no multiple of four.
BOOST_AUTO_TEST_CASE(a_store_value_without_whole_base64_groups_has_no_record) {
  const std::string bytes =
      EncodeKvsRecord(MemberRecord::Builder().address("10.0.0.1:7000").Build());
  for (std::size_t extra = 0; extra < 3; ++extra) {
    // Bytes in front do not change the record, whose root is at the end.
    const std::string text = EncodeBase64(std::string(extra, ' ') + bytes);
    BOOST_TEST((DecodeBase64(text) == std::string(extra, ' ') + bytes));
    const std::size_t end = text.find_last_not_of('=') + 1;
    for (std::size_t cut = end - 3; cut < text.size(); ++cut) {
      BOOST_TEST_CONTEXT("length " << cut << " of " << text.size()) {
        const auto item = ParseItemResponse(
            R"({"key":"quetzalline/members/a","revision":4,"value":")" +
            text.substr(0, cut) + R"("})");
        BOOST_REQUIRE(item.has_value());
        BOOST_TEST(!item->items().front().record().has_value());
      }
    }
  }
  for (const char* odd : {"=", "====", "A===", "AA=A", "AAAA====", "A",
                          "\n\n\n\n", "!!!!", "AAAA!AAA"}) {
    BOOST_TEST_CONTEXT(odd) { BOOST_TEST(!DecodeBase64(odd).has_value()); }
  }
}

// Such values decode, but nobody who follows this protocol writes them.
BOOST_AUTO_TEST_CASE(a_store_value_that_no_process_writes_has_no_record) {
  const auto run = [](std::int64_t number) {
    return JobProgress::Builder()
        .tasks({TaskProgress::Builder().last_run(number).Build()})
        .Build();
  };
  const auto job = [](std::int32_t count, std::int32_t after) {
    return JobRecord::Builder()
        .definition(
            JobDefinition::Builder()
                .steps({JobStep::Builder().count(1).Build(),
                        JobStep::Builder().count(count).after({after}).Build()})
                .Build())
        .Build();
  };
  const auto accepted = [&](std::int64_t at_ms) {
    return JobRecord::Builder(job(2, 0)).accepted_ms(at_ms).Build();
  };
  const std::string good_job = "jobs/5c0e7a21d94b36f8";
  const std::string good_progress = "progress/5c0e7a21d94b36f8";
  BOOST_TEST(HasRecord(good_job, job(2, 0)));
  BOOST_TEST(HasRecord(good_job, accepted(kNowMs)));
  BOOST_TEST(HasRecord(good_progress, run(7)));
  BOOST_TEST(HasRecord("members/a", MemberRecord()));
  BOOST_TEST(HasRecord("vacant/a", MemberRecord()));
  BOOST_TEST(HasRecord("cell/epoch", HolderRecord()));
  const std::pair<std::string, KvsRecord> odd[] = {
      {good_job, job(2, 1'000'000'000)},
      {good_job, job(2, -1)},
      {good_job, job(2'000'000'000, 0)},
      {good_job, job(-1, 0)},
      {good_job, JobRecord()},
      {good_job, accepted(INT64_MAX)},
      {good_job, accepted(INT64_MIN)},
      {good_job, run(7)},
      {good_job, SchedulerConfiguration::Builder().version(9).Build()},
      {"jobs/7", job(2, 0)},
      {"jobs/99999999999999999999", job(2, 0)},
      {good_progress, run(INT64_MAX)},
      {good_progress, run(-1)},
      {good_progress, job(2, 0)},
      {"members/", MemberRecord()},
      {"members/a", job(2, 0)},
      {"vacant/", MemberRecord()},
      {"cell/epoch", MemberRecord()},
      {"cell/other", HolderRecord()},
  };
  for (const auto& [key, record] : odd) {
    BOOST_TEST_CONTEXT(key << " " << record.index()) {
      BOOST_TEST(!HasRecord(key, record));
    }
  }
}

BOOST_AUTO_TEST_CASE(a_full_log_pipe_does_not_block_the_process) {
  int ends[2] = {-1, -1};
  BOOST_REQUIRE(::pipe(ends) == 0);
  JsonLog log(ends[1], "test");
  const LogDecision decision = LogDecision::Builder()
                                   .event("event")
                                   .fields({LogField::Builder()
                                                .name("text")
                                                .value(std::string(500, 'x'))
                                                .Build()})
                                   .Build();
  constexpr int kLines = 2000;
  for (int i = 0; i < kLines; ++i) {
    log.Write(decision);
    log.Flush();
  }
  BOOST_TEST(log.dropped() > 0);
  // When the pipe is read again, the log reports the number of dropped lines.
  std::string read;
  char buffer[65536];
  BOOST_REQUIRE(::fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
  for (int i = 0; i < 100; ++i) {
    ssize_t size = 0;
    while ((size = ::read(ends[0], buffer, sizeof(buffer))) > 0) {
      read.append(buffer, static_cast<std::size_t>(size));
    }
    log.Write(decision);
    log.Flush();
  }
  BOOST_TEST(read.find("log-lines-dropped") != std::string::npos);
  ::close(ends[0]);
  ::close(ends[1]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
