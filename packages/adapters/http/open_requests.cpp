/** @file open_requests.cpp HTTP requests that another thread can cancel. */

#include "http/open_requests.h"

namespace jacinthpond {

httplib::Result
OpenRequests::send(httplib::ClientImpl &Client,
                   const std::function<httplib::Result()> &Request) {
  {
    const std::lock_guard Lock(Guard);
    Clients.insert(&Client);
  }
  httplib::Result Answer = Request();
  const std::lock_guard Lock(Guard);
  Clients.erase(&Client);
  return Answer;
}

void OpenRequests::stopAll() {
  const std::lock_guard Lock(Guard);
  for (httplib::ClientImpl *One : Clients)
    One->stop();
}

} // namespace jacinthpond
