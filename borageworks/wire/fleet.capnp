@0xb5d0c1a7e2f94361;
# Messages between instances. The codec maps each struct to the dataclass of the same name
# in messages.py: fields are camelCase here and snake_case there.

struct Hello { instance @0 :Text; incarnation @1 :UInt64; domain @2 :Text; nonce @3 :Data; }
struct Demand { pool @0 :Text; organisation @1 :Text; waiting @2 :UInt32; }
struct Grant { grantId @0 :UInt64; endpoint @1 :Text; pool @2 :Text; organisation @3 :Text; standing @4 :Bool; }
struct Release { grantId @0 :UInt64; outcome @1 :UInt8; units @2 :Float64; firstToken @3 :Float32; tokenInterval @4 :Float32; fingerprint @5 :Data; keep @6 :Bool; }
struct Recall { pool @0 :Text; endpoint @1 :Text; }
struct EndpointLost { endpoint @0 :Text; restarted @1 :Bool; }
struct Used { pool @0 :Text; organisation @1 :Text; units @2 :Float64; requests @3 :UInt32; }
struct Charge { grantId @0 :UInt64; units @1 :Float64; }
struct Running { grantId @0 :UInt64; endpoint @1 :Text; pool @2 :Text; organisation @3 :Text; units @4 :Float64; }
struct ServiceReport { pool @0 :Text; organisation @1 :Text; owner @2 :Text; incarnation @3 :UInt64; units @4 :Float64; backlogged @5 :Bool; domain @6 :Text; owners @7 :UInt32; offset @8 :Float64; share @9 :Float64; }
struct ServiceError { pool @0 :Text; organisation @1 :Text; error @2 :Float64; owners @3 :UInt32; total @4 :Float64; }
struct Claim { requestId @0 :UInt64; shard @1 :UInt16; keyHash @2 :Data; bodyHash @3 :Data; issued @4 :Float64; holder @5 :Text; }
struct ClaimReply { requestId @0 :UInt64; outcome @1 :UInt8; holder @2 :Text; state @3 :UInt8; }
struct ClaimFinish { shard @0 :UInt16; keyHash @1 :Data; state @2 :UInt8; }
struct HeldAnswerQuery { requestId @0 :UInt64; keyHash @1 :Data; }
struct HeldAnswerReply { requestId @0 :UInt64; found @1 :UInt8; status @2 :UInt16; contentType @3 :Text; body @4 :Data; }
struct CatalogDigest { revision @0 :UInt64; buckets @1 :List(UInt64); }
struct CatalogPull { buckets @0 :List(UInt16); }
struct CatalogObjects { objects @0 :List(Data); }
struct AloneDemand { requestId @0 :UInt64; pool @1 :Text; organisation @2 :Text; }
struct AloneGrant { requestId @0 :UInt64; grant @1 :Grant; }
struct Suspect { fingerprint @0 :Data; endpoint @1 :Text; incarnation @2 :Text; alone @3 :Bool; }
struct PromptPiece { id @0 :Text; tokens @1 :UInt32; }
struct PlaceRequest { number @0 :UInt64; service @1 :Text; shard @2 :UInt16; organisation @3 :Text; aimS @4 :Float32; patienceS @5 :Float32; excluded @6 :List(Text); prompt @7 :Bool; model @8 :Text; promptTokens @9 :UInt32; generatedTokens @10 :UInt32; pieces @11 :List(PromptPiece); fingerprint @12 :Data; versionBound @13 :Bool; softwareVersion @14 :Text; stream @15 :Data; streamLifetimeS @16 :Float64; resumed @17 :Bool; soleS @18 :Float64; }
struct PlaceReply { number @0 :UInt64; state @1 :UInt8; endpoint @2 :Text; unreadTokens @3 :UInt32; reason @4 :UInt8; retryAfterS @5 :Float32; secondsPerToken @6 :Float32; startS @7 :Float32; softwareVersion @8 :Text; incarnation @9 :Text; speed @10 :Float32; cold @11 :Bool; shareReached @12 :Bool; }
struct PlaceWithdraw { number @0 :UInt64; }
struct EndpointLoad { incarnation @0 :Text; running @1 :UInt32; waiting @2 :UInt32; slots @3 :UInt32; pace @4 :Float32; ageS @5 :Float32; speed @6 :Float32; }
struct EndpointLoads { loads @0 :List(EndpointLoad); }
struct WorkStarted { number @0 :UInt64; delayed @1 :Bool; loads @2 :List(EndpointLoad); firstOutputS @3 :Float64; }
struct WorkEnded { number @0 :UInt64; outcome @1 :UInt8; loads @2 :List(EndpointLoad); }
struct WorkRunning { request @0 :PlaceRequest; endpoint @1 :Text; started @2 :Bool; }
struct ShardOwner { service @0 :Text; shard @1 :UInt16; owner @2 :Text; }

struct TraitCrash { incarnation @0 :Text; rank @1 :UInt64; ageS @2 :Float64; joint @3 :List(Data); }
struct TraitTrial { process @0 :Text; number @1 :UInt64; ageS @2 :Float64; ended @3 :Bool; }
struct CrashTrait { trait @0 :Data; crashes @1 :UInt8; details @2 :List(TraitCrash); cleared @3 :List(Text); trials @4 :List(TraitTrial); }

struct EndpointStatement { incarnation @0 :Text; limitPerS @1 :Float64; ageS @2 :Float32; leaving @3 :Bool; pauseS @4 :Float64; coldS @5 :Float64; }

struct StreamsBegan { version @0 :Text; lifetimeS @1 :Float64; streams @2 :List(Data); }

struct ReplicaItem { key @0 :Text; value @1 :Data; revision @2 :UInt64; }
struct ReplicaNews { after @0 :UInt64; revision @1 :UInt64; ageS @2 :Float32; lapseGraceS @3 :Float32; items @4 :List(ReplicaItem); deletes @5 :List(Text); era @6 :UInt64; }

struct ConfigurationVersion { version @0 :UInt64; }

struct MemberUpdate { instance @0 :Text; domain @1 :Text; host @2 :Text; port @3 :UInt16; peerPort @4 :UInt16; incarnation @5 :UInt64; state @6 :UInt8; }
struct Ping { sequence @0 :UInt32; sender @1 :MemberUpdate; updates @2 :List(MemberUpdate); catalogRevision @3 :UInt64; catalogHash @4 :UInt64; }
struct PingRequest { sequence @0 :UInt32; sender @1 :MemberUpdate; target @2 :Text; updates @3 :List(MemberUpdate); }
struct Ack { sequence @0 :UInt32; sender @1 :MemberUpdate; updates @2 :List(MemberUpdate); catalogRevision @3 :UInt64; catalogHash @4 :UInt64; }

struct Envelope {
  union {
    hello @0 :Hello;
    demand @1 :Demand;
    grant @2 :Grant;
    release @3 :Release;
    charge @4 :Charge;
    running @5 :Running;
    serviceReport @6 :ServiceReport;
    serviceError @7 :ServiceError;
    claim @8 :Claim;
    claimReply @9 :ClaimReply;
    claimFinish @10 :ClaimFinish;
    heldAnswerQuery @11 :HeldAnswerQuery;
    heldAnswerReply @12 :HeldAnswerReply;
    catalogDigest @13 :CatalogDigest;
    catalogPull @14 :CatalogPull;
    catalogObjects @15 :CatalogObjects;
    suspect @16 :Suspect;
    ping @17 :Ping;
    pingRequest @18 :PingRequest;
    ack @19 :Ack;
    aloneDemand @20 :AloneDemand;
    aloneGrant @21 :AloneGrant;
    recall @22 :Recall;
    used @23 :Used;
    endpointLost @24 :EndpointLost;
    placeRequest @25 :PlaceRequest;
    placeReply @26 :PlaceReply;
    placeWithdraw @27 :PlaceWithdraw;
    workStarted @28 :WorkStarted;
    workEnded @29 :WorkEnded;
    workRunning @30 :WorkRunning;
    replicaNews @31 :ReplicaNews;
    shardOwner @32 :ShardOwner;
    crashTrait @33 :CrashTrait;
    endpointStatement @34 :EndpointStatement;
    configurationVersion @35 :ConfigurationVersion;
    streamsBegan @36 :StreamsBegan;
    endpointLoads @37 :EndpointLoads;
  }
}

struct Frame { messages @0 :List(Envelope); }
