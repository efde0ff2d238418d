#include "servers/report_html.h"
#include "servers/report_text.h"
#include "servers/report_writer.h"

#include <catch2/catch.hpp>

using namespace gentiancross;

TEST_CASE("A day begins at midnight of the asker's time zone")
{
    const auto utc = reporttext::parseReportDay("1970-01-03", 0);
    REQUIRE(utc.has_value());
    CHECK(utc->first == HalfHour(96));
    CHECK(reporttext::parseReportDay("1970-01-03", 330)->first == HalfHour(85));
    CHECK_FALSE(reporttext::parseReportDay("1970-01-03", 15).has_value());
    CHECK_FALSE(reporttext::parseReportDay("2026-02-30", 0).has_value());
    CHECK_FALSE(reporttext::parseReportDay("yesterday", 0).has_value());
    CHECK_FALSE(reporttext::parseReportDay("", 0).has_value());
    CHECK(timeOfDay(*reporttext::parseReportDay("1970-01-03", 330), Milliseconds(0)) == "05:30");
}

TEST_CASE("Percentiles name the bound that the counts prove")
{
    WaitHistogram waits{};
    CHECK(reporttext::percentile(waits, 50) == "-");
    waits[0] = 98;
    waits[4] = 1;
    waits[12] = 1;
    CHECK(reporttext::percentile(waits, 50) == "up to 100 ms");
    CHECK(reporttext::percentile(waits, 99) == "up to 2.1 s");
    CHECK(reporttext::percentile(waits, 100) == "over 4.0 h");
}

TEST_CASE("All formats tell the verdict and its reasons, and names can't break the page")
{
    DailyReport page;
    page.day = {"2026-01-01", HalfHour(0), 0};
    page.verdict = Verdict::Bad;
    page.faults = {"team <b>x</b> waited"};
    page.classes.push_back(
            {{TeamId("t"), WorkKind::Batch, true}, {}, 0, Milliseconds(100), 2, true});
    page.facts.longest.push_back(
            {RequestId("r"), {}, Milliseconds(0), Milliseconds(7'000), WaitCause::TeamLimit});
    const std::string html = reportToHtml(page);
    CHECK(html.find("bad") != std::string::npos);
    CHECK(html.find("&lt;b&gt;x") != std::string::npos);
    CHECK(html.find("<b>x") == std::string::npos);
    CHECK(reportToText(page).find("bad: team") != std::string::npos);
    const Json::Value json = reportToJson(page);
    CHECK(json["verdict"].asString() == "bad");
    CHECK(json["classes"][0]["too_long"].asUInt64() == 2);
    CHECK(json["longest_waits"][0]["cause"].asString() == "its team's upper limit");
}
