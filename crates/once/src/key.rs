//! Request keys, and signing and verification of their text form.

use std::{fmt, time::Duration};

use base::{Incarnation, ServiceId, UpstreamId};
use rand::Rng;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu, ensure};

/// Key derivation context of the signing key; pass it to `wire::FleetKey::derive`.
pub const KEY_SIGNING_CONTEXT: &str = "wigeonhaven request keys v1";

/// Maximum length of the text form in bytes; enough for two ids of 64 bytes, the version, three numbers and the
/// signature.
pub const MAX_KEY_BYTES: usize = 320;

const VERSION: &str = "k1";
/// Separates the fields. The configuration allows no id with this character, and HTTP header values may contain it.
const SEPARATOR: char = '~';
/// Maximum length in bytes of an id that the configuration accepts.
const MAX_ID_BYTES: usize = 64;

/// Error from parsing or verifying the text form of a key.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum KeyError {
    /// The text is longer than [`MAX_KEY_BYTES`].
    #[snafu(display(
        "request key is too long: {length} bytes, at most {MAX_KEY_BYTES} are allowed"
    ))]
    TooLong {
        /// Length of the text in bytes.
        length: usize,
    },
    /// A field of the key is missing or invalid.
    #[snafu(display("request key is malformed: invalid {field}"))]
    Malformed {
        /// Name of the field that is missing or invalid.
        field: &'static str,
    },
    /// The signature does not match: the text was altered, or it was not signed with the key of this fleet.
    #[snafu(display("request key is not signed by this fleet"))]
    NotAuthentic,
}

/// The incarnation of an agent that is the only process allowed to run the request of a key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct KeyOwner {
    /// Upstream of the agent.
    pub upstream: UpstreamId,
    /// Incarnation of the agent; changes with each restart of the agent.
    pub incarnation: Incarnation,
}

impl KeyOwner {
    /// Creates the owner that is `incarnation` of the agent of `upstream`.
    #[must_use]
    pub fn new(upstream: impl Into<UpstreamId>, incarnation: Incarnation) -> Self {
        Self { upstream: upstream.into(), incarnation }
    }
}

/// Sort key of the keys of one owner: by issue time, and by a random number that makes it unique.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyIndex {
    issued_ms: u64,
    random: u128,
}

impl KeyIndex {
    /// Issue time as uptime of the owner.
    #[must_use]
    pub fn issued(self) -> Duration {
        Duration::from_millis(self.issued_ms)
    }
}

/// Key of a request that must run at most once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RequestKey {
    service: ServiceId,
    owner: KeyOwner,
    index: KeyIndex,
}

impl RequestKey {
    /// Generates a key for a request to `service`. `issued` is the uptime of `owner`, which is truncated to whole
    /// milliseconds.
    #[must_use]
    pub fn new(
        service: impl Into<ServiceId>,
        owner: KeyOwner,
        issued: Duration,
        random: &mut impl Rng,
    ) -> Self {
        let issued_ms = u64::try_from(issued.as_millis()).unwrap_or(u64::MAX);
        let random = u128::from(random.next_u64()) << u64::BITS | u128::from(random.next_u64());
        Self { service: service.into(), owner, index: KeyIndex { issued_ms, random } }
    }

    /// Service that the key was issued for.
    #[must_use]
    pub fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Incarnation of the agent that is the only process allowed to run the request.
    #[must_use]
    pub fn owner(&self) -> &KeyOwner {
        &self.owner
    }

    /// Issue time as uptime of the owner.
    #[must_use]
    pub fn issued(&self) -> Duration {
        self.index.issued()
    }

    /// Sort key that identifies this key among the keys of its owner.
    #[must_use]
    pub fn index(&self) -> KeyIndex {
        self.index
    }
}

/// Signs request keys and verifies their text form.
#[derive(Clone)]
pub struct KeySigner {
    secret: [u8; 32],
}

impl KeySigner {
    /// Creates a signer from the key that `wire::FleetKey::derive` yields for [`KEY_SIGNING_CONTEXT`].
    #[must_use]
    pub fn new(secret: [u8; 32]) -> Self {
        Self { secret }
    }

    /// Returns the signed text form of `key`: printable ASCII without spaces, commas or quotes, at most
    /// [`MAX_KEY_BYTES`] long.
    #[must_use]
    pub fn sign(&self, key: &RequestKey) -> String {
        let RequestKey { service, owner, index } = key;
        let KeyOwner { upstream, incarnation } = owner;
        let KeyIndex { issued_ms, random } = index;
        let mut text = format!(
            "{VERSION}{SEPARATOR}{service}{SEPARATOR}{upstream}{SEPARATOR}{incarnation:x}{SEPARATOR}\
             {issued_ms:x}{SEPARATOR}{random:x}"
        );
        let signature = self.signature(&text);
        text.push(SEPARATOR);
        text.push_str(&signature.to_hex());
        text
    }

    /// Verifies the signature of `text` and parses the key.
    ///
    /// # Errors
    /// Fails if the text is too long or malformed, or was not signed with the key of this fleet.
    pub fn verify(&self, text: &str) -> Result<RequestKey, KeyError> {
        ensure!(text.len() <= MAX_KEY_BYTES, TooLongSnafu { length: text.len() });
        let (signed, signature) =
            text.rsplit_once(SEPARATOR).context(MalformedSnafu { field: "signature" })?;
        let signature = blake3::Hash::from_hex(signature)
            .ok()
            .context(MalformedSnafu { field: "signature" })?;
        // `blake3::Hash` compares in constant time.
        ensure!(signature == self.signature(signed), NotAuthenticSnafu);
        parse(signed)
    }

    fn signature(&self, text: &str) -> blake3::Hash {
        blake3::keyed_hash(&self.secret, text.as_bytes())
    }
}

impl fmt::Debug for KeySigner {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeySigner(hidden)")
    }
}

fn parse(text: &str) -> Result<RequestKey, KeyError> {
    let fields: Vec<_> = text.split(SEPARATOR).collect();
    let [version, service, upstream, incarnation, issued, random] = fields[..] else {
        return MalformedSnafu { field: "number of fields" }.fail();
    };
    ensure!(version == VERSION, MalformedSnafu { field: "version" });
    ensure!(is_id(service), MalformedSnafu { field: "service" });
    ensure!(is_id(upstream), MalformedSnafu { field: "upstream" });
    let parse_hex = |text| u64::from_str_radix(text, 16).ok();
    let incarnation = parse_hex(incarnation).context(MalformedSnafu { field: "incarnation" })?;
    let issued_ms = parse_hex(issued).context(MalformedSnafu { field: "issue time" })?;
    let random =
        u128::from_str_radix(random, 16).ok().context(MalformedSnafu { field: "random part" })?;
    Ok(RequestKey {
        service: service.into(),
        owner: KeyOwner::new(upstream, incarnation),
        index: KeyIndex { issued_ms, random },
    })
}

fn is_id(text: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}
