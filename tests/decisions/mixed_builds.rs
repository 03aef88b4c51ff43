//! Daemons of landed builds and of this one understand each other.
//!
//! What callers saw: with three daemons of one build beside three of the next, a client
//! account of 40 requests a second was let in 1.71 times what its quota allows. Each build
//! dropped the datagrams of the other whole, for their version: two systems that didn't
//! hear each other stood before the same upstreams.
//!
//! `landed/6` and `landed/7` hold one message of each kind as the builds with these
//! versions wrote it.

#[path = "landed/messages.rs"]
mod messages;

use {
    messages::*,
    saddlepulley::cluster::*,
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt::Debug, fs, path::Path},
};

const LANDED: [u8; 2] = [6, 7];

fn landed(version: u8, name: &str) -> Vec<u8> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/decisions/landed");
    let path = dir.join(format!("{version}/{name}.hex"));
    let text = fs::read_to_string(path).unwrap();
    hex::decode(text.trim()).unwrap()
}

#[test]
fn what_landed_builds_say_is_understood() {
    for version in LANDED {
        for (name, datagram) in datagrams() {
            if version == 6 && name == "crashes" {
                continue;
            }
            let packet = Packet::decode(&landed(version, name));
            let packet = packet.unwrap_or_else(|e| panic!("{name} of {version}: {e}"));
            assert_eq!(packet, Packet::from(datagram), "{name} of {version}");
        }
    }
}

fn assert_same<T>(message: &T, name: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    for version in LANDED {
        let theirs = landed(version, name);
        assert_eq!(encode(message).unwrap(), theirs, "{name} of {version}");
        assert_eq!(
            &decode::<T>(&theirs).unwrap(),
            message,
            "{name} of {version}"
        );
    }
}

#[test]
fn news_and_configurations_are_the_same_in_all_builds() {
    assert_same(&feed_ask(), "feed-ask");
    assert_same(&feed_news(), "feed-news");
    assert_same(&config_ask(), "config-ask");
    for (name, answer) in config_answers() {
        assert_same(&answer, name);
    }
}
