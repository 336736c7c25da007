//! Generation of groups of items.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rand::RngCore;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use super::settings::TrainerSettings;
use crate::clients::random_id;
use crate::observation::{ItemSent, RewardSent};
use crate::synthetic_text;

/// An item with its entry in the document of a batch job.
#[derive(Clone, Debug)]
pub(super) struct DrawnItem {
    pub sent: ItemSent,
    pub entry: Value,
}

/// A group of items that share a prompt prefix.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub items: Vec<DrawnItem>,
}

impl Group {
    /// Draws the group with the given number for the batch job with the id `job`.
    pub fn draw(settings: &TrainerSettings, job: &str, number: usize, random: &mut Pcg64Mcg) -> Group {
        let shared_prefix = format!("{:06x}", random.next_u32() & 0xff_ffff);
        let items = (0..settings.batch.group_size)
            .map(|_| draw_item(settings, job, number, &shared_prefix, random))
            .collect();
        Group { items }
    }
}

fn draw_bytes(random: &mut Pcg64Mcg, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    random.fill_bytes(&mut bytes);
    bytes
}

fn draw_item(
    settings: &TrainerSettings,
    job: &str,
    group: usize,
    shared_prefix: &str,
    random: &mut Pcg64Mcg,
) -> DrawnItem {
    let (id, reward_id) = (random_id(random), random_id(random));
    let body = draw_bytes(random, settings.items.body_bytes);
    let reward_body = draw_bytes(random, settings.items.body_bytes / 2);
    let path = format!("{}{group}/{:04x}", settings.items.path_prefix, random.next_u32() & 0xffff);
    let reward_path = format!("{}{:04x}", settings.items.reward_prefix, random.next_u32() & 0xffff);
    let (shared_tokens, own_tokens) = (settings.items.shared_tokens, settings.items.prompt_tokens);
    let prompt_tokens = shared_tokens + own_tokens;
    let max_output_tokens = settings.items.max_events * settings.items.stride;
    let own_prefix = format!("{:06x}", random.next_u32() & 0xff_ffff);
    let entry = json!({
        "instance-id": id,
        "path": path,
        "headers": {
            "Model": settings.model,
            "Token-Usage": format!("{prompt_tokens},{max_output_tokens}"),
            "Prompt-Prefix": format!("{shared_prefix}:{shared_tokens},{own_prefix}:{own_tokens}"),
        },
        "body": STANDARD.encode(&body),
        "token-usage": prompt_tokens + max_output_tokens,
        "group": format!("{}-{group}", &job[..6]),
        "scorer-url": {
            "instance-id": reward_id,
            "hostname": settings.items.reward_host,
            "path": reward_path,
            "body": STANDARD.encode(&reward_body),
        },
    });
    let reward = RewardSent {
        id: reward_id,
        host: settings.items.reward_host.clone(),
        path: reward_path,
        body: synthetic_text::digest(&reward_body),
    };
    let events = synthetic_text::event_count(&id, max_output_tokens, settings.items.stride);
    DrawnItem { sent: ItemSent { id, path, body: synthetic_text::digest(&body), events, reward }, entry }
}
