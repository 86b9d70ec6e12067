#pragma once

#include "lagoonpoint/Catalog"
#include "lagoonpoint/Replication"
#include "lagoonpoint/src/Fleet/UpstreamBook.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace lagoonpoint {

/// One VM as it describes itself.
struct NodeRecord {
  VmId Vm_;
  bool Core_ = false; ///< replicates the configuration, else an entry VM
  ZoneId Zone_;
  RegionId Region_;
  std::string Callers_;      ///< entry VM: where callers connect, "host:port"
  std::uint64_t BornAt_ = 0; ///< Unix milliseconds of the process's start
  DiskId Disk_;              ///< core VM: of its data folder
  MSGPACK_DEFINE(Vm_, Core_, Zone_, Region_, Callers_, BornAt_, Disk_)
};

/// Requests a second by name.
using RateMap = std::map<std::string, double>;

/// An upstream heard of since the last beat.
struct Sighting {
  UpstreamId Id_;
  std::uint64_t Sequence_ = 0;
  Duration Age_;
  MSGPACK_DEFINE(Id_, Sequence_, Age_)
};

/// Sent by every VM to every core VM that it knows. What the receiver holds
/// already is left out.
struct Beat {
  std::uint64_t BornAt_ = 0;     ///< Unix milliseconds of the sender's start
  std::vector<NodeRecord> Self_; ///< one, unless the receiver holds it
  bool Ready_ = false;           ///< entry VM: takes new callers
  std::int64_t Asked_ = 0;       ///< sender's clock; only echoed
  Revision Holds_;               ///< of the items that the sender holds
  LogIndex ConfigAt_; ///< entry that set the newest voters the sender knows of
  bool KnowsVoters_ = false;    ///< else ConfigAt_ says nothing
  std::uint64_t Upstreams_ = 0; ///< digest of the sender's announcements
  std::vector<VmId> Cores_;     ///< that the sender knows; empty: as before
  bool WantsItems_ = false;
  bool WantsRates_ = false; ///< the answer should sum up the fleet's rates
  /// Asked of the sender by callers; of a core VM: of its region's entry VMs.
  RateMap TeamRates_;
  RateMap ServiceRates_;          ///< asked of the sender by callers
  std::vector<Sighting> Sighted_; ///< between core VMs
  MSGPACK_DEFINE(BornAt_, Self_, Ready_, Asked_, Holds_, ConfigAt_,
                 KnowsVoters_, Upstreams_, Cores_, WantsItems_, WantsRates_,
                 TeamRates_, ServiceRates_, Sighted_)
};

/// How far one core VM's part of the log reaches.
struct LogProof {
  DiskId Disk_;
  LogIndex Last_;    ///< highest entry on its disk, committed or not
  LogIndex Applied_; ///< highest entry that its items include
  /// Teams whose items entries between Applied_ and Last_ may change.
  std::vector<std::string> Doubtful_;
  LogIndex ConfigAt_; ///< entry that set the newest voters it knows of
  std::vector<VoterConfig> Config_; ///< one, unless the receiver knows it
  MSGPACK_DEFINE(Disk_, Last_, Applied_, Doubtful_, ConfigAt_, Config_)
};

/// What entry VMs are asked for together.
struct FleetRates {
  std::vector<VmId> Entries_;                  ///< live entry VMs
  std::map<std::string, RateMap> RegionRates_; ///< service rates by region
  MSGPACK_DEFINE(Entries_, RegionRates_)
};

/// Answer of a core VM to a Beat.
struct BeatReply {
  std::int64_t Asked_ = 0;  ///< of the beat
  bool KnowsSender_ = true; ///< else the sender should describe itself
  RegionId Region_;         ///< of the core VM
  Revision Holds_;
  std::uint64_t Upstreams_ = 0;    ///< digest of the announcements it holds
  std::vector<UpstreamId> Silent_; ///< announced nothing to any core VM lately
  LogProof Proof_;
  std::vector<VmId> Cores_;       ///< where the sender's list differs
  std::vector<FleetRates> Rates_; ///< one, if asked for
  MSGPACK_DEFINE(Asked_, KnowsSender_, Region_, Holds_, Upstreams_, Silent_,
                 Proof_, Cores_, Rates_)
};

/// Items that an entry VM lacks.
struct ItemNews {
  Revision Since_; ///< the receiver holds at least this
  Revision Upto_;
  LogIndex Applied_;
  ItemSet Items_;
  std::set<Drain> Drains_; ///< all in force
  MSGPACK_DEFINE(Since_, Upto_, Applied_, Items_, Drains_)
};

/// Announcements passed on. A receiver confirms them if Number_ isn't 0.
struct NoticeNews {
  std::uint64_t Number_ = 0;
  std::vector<UpstreamNotice> Said_;
  MSGPACK_DEFINE(Number_, Said_)
};

/// Confirms NoticeNews.
struct NoticesSeen {
  std::uint64_t Number_ = 0;
  MSGPACK_DEFINE(Number_)
};

/// Asks what the receiver holds of the announcements otherwise.
struct BookAsk {
  BookSums Sums_; ///< of what the sender holds
  MSGPACK_DEFINE(Sums_)
};

/// Answers BookAsk. What the answerer lacks comes back as NoticeNews.
struct BookAnswer {
  BookSums Sums_;                    ///< of what the answerer holds
  std::vector<UpstreamNotice> Said_; ///< its part where the sums differ
  MSGPACK_DEFINE(Sums_, Said_)
};

/// Asks a core VM for tokens of a team's rate.
struct TokenAsk {
  std::uint64_t Number_ = 0;
  TeamId Team_;
  unsigned Wanted_ = 0; ///< requests that wait for one
  unsigned Ahead_ = 0;  ///< for requests that are likely to come soon
  MSGPACK_DEFINE(Number_, Team_, Wanted_, Ahead_)
};

/// Answers TokenAsk.
struct TokenGrant {
  std::uint64_t Number_ = 0; ///< of the ask
  TeamId Team_;
  unsigned Count_ = 0;
  Duration Wait_;        ///< until more can be had, if Count_ is too few
  bool Entitled_ = true; ///< else another core VM should be asked
  MSGPACK_DEFINE(Number_, Team_, Count_, Wait_, Entitled_)
};

/// Every message of Channel::Fleet.
using FleetMessage =
    std::variant<Beat, BeatReply, ItemNews, NoticeNews, NoticesSeen, BookAsk,
                 BookAnswer, TokenAsk, TokenGrant>;

/// \ingroup Fleet
std::string encodeMessage(const FleetMessage &M);

/// \ingroup Fleet
/// \throws CodecError if the bytes are no message of this protocol
FleetMessage decodeFleetMessage(const std::string &Bytes, const VmId &Peer);

} // namespace lagoonpoint
