//! A digest of everything that the controllers of a scenario send.
//!
//! The core is deterministic: time and randomness are inputs. Two versions that behave alike therefore
//! send the same bytes to the same peers at the same times, and their digests are equal. Texts for
//! people (warnings, and the body of a metrics page) count as one event each, whatever their wording.

use indigopath_controller::io::{ContentType, Destination, Effect, SendCondition};

/// Accumulates effects in the order in which they were sent.
#[derive(Debug, Default)]
pub(crate) struct EffectDigest {
    hasher: blake3::Hasher,
    effects: u64,
}

impl EffectDigest {
    /// Adds what a node sent at a time, in ms.
    pub(crate) fn record(&mut self, now: u64, node: usize, effects: &[Effect]) {
        for effect in effects {
            self.effects += 1;
            self.number(now);
            self.number(node as u64);
            self.effect(effect);
        }
    }

    /// The digest in hexadecimal, behind the number of effects that it covers.
    pub(crate) fn finish(&self) -> String {
        format!("{} {}", self.effects, self.hasher.finalize().to_hex())
    }

    fn effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Reply {
                request,
                status,
                retry_after_s,
                content,
                body,
                until,
            } => {
                self.number(0);
                self.number(request.0);
                self.number(u64::from(*status));
                self.optional(*retry_after_s);
                match content {
                    ContentType::Json => self.bytes(body),
                    ContentType::Metrics => self.number(0),
                }
                self.optional(*until);
            }
            Effect::Call {
                call,
                to,
                method,
                path,
                body,
                timeout_ms,
                condition,
            } => {
                self.number(1);
                self.number(call.0);
                self.destination(to);
                self.bytes(method.as_str().as_bytes());
                self.bytes(path.as_bytes());
                self.bytes(body);
                self.number(*timeout_ms);
                match condition {
                    SendCondition::Unconditional => self.number(0),
                    SendCondition::Permitted(_) => self.number(1),
                    SendCondition::Before(time) => self.number(*time),
                }
            }
            Effect::Frame { peer, bytes } => {
                self.number(2);
                self.number(*peer as u64);
                self.bytes(bytes);
            }
            Effect::Warning(_) => self.number(3),
        }
    }

    fn destination(&mut self, destination: &Destination) {
        match destination {
            Destination::State => self.number(0),
            Destination::Cloud => self.number(1),
            Destination::Worker(address) => {
                self.number(2);
                self.bytes(address.as_bytes());
            }
            Destination::Licences(address) => {
                self.number(3);
                self.bytes(address.to_string().as_bytes());
            }
        }
    }

    fn number(&mut self, number: u64) {
        self.hasher.update(&number.to_le_bytes());
    }

    fn optional(&mut self, number: Option<u64>) {
        self.number(number.map_or(0, |_| 1));
        self.number(number.unwrap_or_default());
    }

    /// With their length, so that neighbours cannot run together.
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hasher.update(bytes);
    }
}
