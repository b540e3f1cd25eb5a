#include "drivers/rate_field.h"

#include <CppUTest/TestHarness.h>

using namespace hibiscusspool;

namespace {

rate_notice
Read(std::vector<header_field> aFields)
{
  server_response response;
  response.mFields = std::move(aFields);
  return ReadRateField(response, "rate-limit");
}

}

TEST_GROUP(rate_field){};

TEST(rate_field, ReadsDecimalNumbers)
{
  for (auto [text, rate] :
       std::initializer_list<std::pair<const char*, double>>{
         { "42", 42 }, { "3.25", 3.25 }, { "0", 0 }, { " 7.5 ", 7.5 } }) {
    rate_notice notice = Read({ { "Rate-Limit", text } });
    CHECK(notice.mKind == rate_notice_kind::Limited);
    DOUBLES_EQUAL(rate, notice.mPerSecond, 0);
  }
  CHECK(Read({ { "Other", "1" } }).mKind == rate_notice_kind::Unlimited);
}

TEST(rate_field, WhatIsNoRateIsNeverTakenForNoLimit)
{
  for (const char* text :
       { "", " ", "-1", "-0.5", "nan", "inf", "many", "3/s", "1e3", "," }) {
    CHECK(Read({ { "Rate-Limit", text } }).mKind ==
          rate_notice_kind::Malformed);
  }
}

TEST(rate_field, HugeRatesAreBounded)
{
  std::string digits(400, '9');
  for (const std::string& text : { std::string("99999999999"), digits }) {
    rate_notice notice = Read({ { "Rate-Limit", text } });
    CHECK(notice.mKind == rate_notice_kind::Limited);
    DOUBLES_EQUAL(kMaxAnnouncedRate, notice.mPerSecond, 0);
  }
  std::string tiny = "0." + std::string(400, '0') + "1";
  DOUBLES_EQUAL(0, Read({ { "Rate-Limit", tiny } }).mPerSecond, 0);
}

TEST(rate_field, TheLowestOfSeveralRatesCounts)
{
  DOUBLES_EQUAL(
    4, Read({ { "Rate-Limit", "9, 4" }, { "rate-limit", "5" } }).mPerSecond, 0);
  rate_notice notice =
    Read({ { "Rate-Limit", "soon" }, { "Rate-Limit", "5" } });
  CHECK(notice.mKind == rate_notice_kind::Limited);
  DOUBLES_EQUAL(5, notice.mPerSecond, 0);
}
