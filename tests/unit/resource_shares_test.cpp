/** @file resource_shares_test.cpp How a process divides its memory. */
// Labels: product

#include "admission/connection_table_func.h"
#include "settings/resource_shares_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

constexpr size_t Megabyte = 1 << 20;
constexpr size_t NoLimit = 1 << 30;

Settings machine(int64_t Megabytes, int64_t Descriptors) {
  Settings Config;
  Config.MemoryMegabytes = Megabytes;
  Config.FileDescriptors = Descriptors;
  Config.AnswerMemoryMegabytes = 64;
  return Config;
}

} // namespace

// Guards against shares that together exceed the memory of the machine.
BOOST_AUTO_TEST_CASE(SharesFitTheMachine) {
  for (const int64_t Size : {32, 64, 128, 260, 1024, 65536}) {
    const ResourceShares Found = resourceShares(machine(Size, 4100), NoLimit);
    BOOST_TEST(Found.CallerBytes + Found.AnswerBytes +
                       Found.AdministrationBytes <
                   static_cast<size_t>(Size) * Megabyte,
               Size);
    BOOST_TEST(Found.CallerBytes > 0U, Size);
  }
}

// Guards against a limit that clients inside the configuration's limits meet.
BOOST_AUTO_TEST_CASE(TheClientsOfAFrontMachineFit) {
  constexpr size_t Clients = 37;
  constexpr size_t EachBytes = (4 << 20) + (160 << 10);
  for (const int64_t Size : {256, 260}) {
    const ResourceShares Found = resourceShares(machine(Size, 4100), NoLimit);
    BOOST_TEST(Clients * EachBytes <
                   Found.CallerBytes - Found.CallerBytes / SmallReserveParts,
               Size);
    BOOST_TEST(Found.CallerConnections == 2050U);
  }
}

BOOST_AUTO_TEST_CASE(TheLowerLimitOfDescriptorsCounts) {
  BOOST_TEST(resourceShares(machine(260, 4100), 1024).CallerConnections ==
             512U);
}
