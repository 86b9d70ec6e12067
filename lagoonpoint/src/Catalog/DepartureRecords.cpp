#include "lagoonpoint/src/Catalog/DepartureRecords.h"

#include <cstdlib>

namespace lagoonpoint {

bool isRecorded(const DepartureRecords &Records, const UpstreamNotice &Notice) {
  auto Found = Records.find(Notice.Id_);
  if (Found == Records.end())
    return false;
  const UpstreamNotice &Known = Found->second.Notice_;
  if (Known.StartedAtMs_ != Notice.StartedAtMs_)
    return Known.StartedAtMs_ > Notice.StartedAtMs_;
  return Known.Phase_ >= Notice.Phase_;
}

void recordDeparture(DepartureRecords &Records, const RecordedDeparture &New) {
  std::erase_if(Records, [&](const auto &Entry) {
    return std::abs(New.RecordedAtMs_ - Entry.second.RecordedAtMs_) >
           DepartureRecordRetention.count();
  });
  if (!isRecorded(Records, New.Notice_))
    Records[New.Notice_.Id_] = New;
}

} // namespace lagoonpoint
