package io.anvilusher.model.key;

/**
 * A granted workspace key. Only a hash of its secret is stored.
 *
 * @param keyId public part of the key
 * @param workspace name of the workspace that the key belongs to
 * @param secretHash SHA-256 of the secret part, in hexadecimal
 * @param withdrawn whether the key was withdrawn and is no longer valid
 */
public record WorkspaceKey(String keyId, String workspace, String secretHash, boolean withdrawn) {

}
